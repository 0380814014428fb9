package io.snipeloom.store;

/**
 * A record of a keyed topic.
 *
 * @param key the key, of 1 to 255 characters
 * @param value the value; empty if the record removes the key
 */
public record KeyedRecord(String key, byte[] value) {
  private static final int MAX_KEY_LENGTH = 255;

  /** A key that nobody uses: the replacement character of Unicode. */
  private static final String UNREADABLE_KEY = "�";

  /** Validates the length of the key. */
  public KeyedRecord {
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      throw new IllegalArgumentException("key must have 1 to 255 characters");
    }
  }

  /**
   * Returns the record that takes the place of one whose key cannot be read, so that the offsets of
   * those after it are right. It removes a key that nobody uses.
   */
  public static KeyedRecord unreadable() {
    return new KeyedRecord(UNREADABLE_KEY, new byte[0]);
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
