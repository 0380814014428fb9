package io.snipeloom.state;

/** Whether a request ran at a back end, as told to its caller. */
public enum RunState {
  /** The request ran. */
  RAN("ran"),
  /** The request provably did not run and never will under this attempt. */
  NOT_RUN("not run"),
  /** It is not known whether the request ran. */
  UNKNOWN("unknown");

  private final String text;

  RunState(String text) {
    this.text = text;
  }

  /**
   * Returns the text form that callers see.
   *
   * @return the text form
   */
  public String text() {
    return text;
  }
}
