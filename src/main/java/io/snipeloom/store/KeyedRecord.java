package io.snipeloom.store;

/**
 * A record of a keyed topic.
 *
 * @param key the key
 * @param value the value, empty if the key was dropped
 */
public record KeyedRecord(String key, byte[] value) {
  private static final int MAX_KEY_LENGTH = 255;

  /** Checks the length of the key. */
  public KeyedRecord {
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      throw new IllegalArgumentException("key must have 1 to 255 characters");
    }
  }

  /**
   * Returns whether the record drops its key.
   *
   * @return true if there is no value
   */
  public boolean isRemoval() {
    return value.length == 0;
  }
}
