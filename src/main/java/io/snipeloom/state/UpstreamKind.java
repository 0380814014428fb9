package io.snipeloom.state;

/** The kind of the back ends of an upstream. */
public enum UpstreamKind {
  /** Model engines, which implement the chat completions protocol and stream tokens. */
  MODEL_ENGINE,
  /** Plain HTTP services. */
  PLAIN_SERVICE
}
