package io.snipeloom.standin;

/**
 * The body of a refusal by a stand-in.
 *
 * @param error what went wrong
 */
record StandinError(Detail error) {

  /**
   * What went wrong.
   *
   * @param code the error code
   * @param message the error text
   * @param type the same code, where clients of model engines look for it
   */
  record Detail(String code, String message, String type) {}

  static StandinError of(String code, String message) {
    return new StandinError(new Detail(code, message, code));
  }
}
