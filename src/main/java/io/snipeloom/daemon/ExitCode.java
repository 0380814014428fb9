package io.snipeloom.daemon;

import io.snipeloom.state.ErrorCode;

/** The exit codes of the command line. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The input is invalid, the change was rejected or the audit found a fault. */
  REFUSED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** No instance responded, or the instance could not reach the log. */
  UNREACHABLE(3);

  private final int value;

  ExitCode(int value) {
    this.value = value;
  }

  /** Returns the exit code for an error. */
  static ExitCode of(ErrorCode code) {
    return switch (code) {
      case CONNECTION_LOST, LOG_UNAVAILABLE, NOT_READY -> UNREACHABLE;
      default -> REFUSED;
    };
  }

  /** Returns the exit status of the process. */
  public int value() {
    return value;
  }
}
