package io.snipeloom.standin;

/**
 * The files of the weight store. Their contents are generated from their names.
 *
 * @param size the size of each file, in bytes
 */
record WeightFiles(long size) {

  /**
   * Returns a range of a file; the result is shorter than {@code length} if the range exceeds the
   * file.
   */
  byte[] range(String name, long offset, int length) {
    int count = (int) Math.max(0, Math.min(length, size - offset));
    byte[] data = new byte[count];
    int seed = name.hashCode();
    for (int i = 0; i < count; i++) {
      data[i] = (byte) (seed + (offset + i) * 31);
    }
    return data;
  }
}
