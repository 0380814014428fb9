package io.snipeloom.state;

/**
 * An entry of the configuration document and the log offset of its last change.
 *
 * @param <T> the type of the entry
 * @param changedAt the log offset of the change that created or last replaced the entry
 */
public record Entry<T>(T value, long changedAt) {

  /**
   * Checks that a component of an entry or edit is not null.
   *
   * @param name the name of the component, for the error message
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} if the value is null
   */
  static void requirePresent(String name, Object value) {
    if (value == null) {
      throw SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, name + " is required");
    }
  }
}
