package io.snipeloom.state;

/** The kind of back ends behind an upstream. */
public enum UpstreamKind {
  /** Model engines, which speak the chat completions protocol and stream tokens. */
  MODEL_ENGINE,
  /** Plain HTTP services. */
  PLAIN_SERVICE
}
