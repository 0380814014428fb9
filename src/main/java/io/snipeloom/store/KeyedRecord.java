package io.snipeloom.store;

/**
 * A record of a keyed topic.
 *
 * @param key the key, of 1 to 255 characters
 * @param value the value; empty if the record removes the key
 */
public record KeyedRecord(String key, byte[] value) {
  private static final int MAX_KEY_LENGTH = 255;

  /** Validates the length of the key. */
  public KeyedRecord {
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      throw new IllegalArgumentException("key must have 1 to 255 characters");
    }
  }

  /**
   * Returns whether the record removes its key.
   *
   * @return true if the value is empty
   */
  public boolean isRemoval() {
    return value.length == 0;
  }
}
