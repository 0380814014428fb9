package io.snipeloom.state;

/**
 * An entry of the configuration document together with the log offset that last changed it.
 *
 * @param <T> the type of the entry
 * @param value the entry
 * @param changedAt the offset of the change that put it in place
 */
public record Entry<T>(T value, long changedAt) {

  static void required(String name, Object value) {
    if (value == null) {
      throw SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, name + " is required");
    }
  }
}
