package io.snipeloom.state;

/** Whether a request ran on a back end, as reported to its caller. */
public enum RunState {
  /** The request ran. */
  RAN("ran"),
  /** The request certainly did not run, and this attempt will never run it. */
  NOT_RUN("not run"),
  /** It is not known whether the request ran. */
  UNKNOWN("unknown");

  private final String text;

  RunState(String text) {
    this.text = text;
  }

  /** Returns the text form that callers receive. */
  public String text() {
    return text;
  }
}
