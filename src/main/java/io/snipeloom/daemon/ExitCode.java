package io.snipeloom.daemon;

import io.snipeloom.state.ErrorCode;

/** The exit codes of the command line. */
public enum ExitCode {
  /** The command did what was asked. */
  OK(0),
  /** The input is invalid, the change was refused or the audit found a fault. */
  REFUSED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** No instance answered, or the instance could not reach the log. */
  UNREACHABLE(3);

  private final int value;

  ExitCode(int value) {
    this.value = value;
  }

  /**
   * Returns the exit code that stands for an error.
   *
   * @param code the error code
   * @return the exit code
   */
  static ExitCode of(ErrorCode code) {
    return switch (code) {
      case CONNECTION_LOST, LOG_UNAVAILABLE, NOT_READY -> UNREACHABLE;
      default -> REFUSED;
    };
  }

  /**
   * Returns the number that the process exits with.
   *
   * @return the number
   */
  public int value() {
    return value;
  }
}
