package io.snipeloom.standin;

/**
 * The files of the weight store, made up from their names.
 *
 * @param size the size of each file in bytes
 */
record WeightFiles(long size) {

  /** Returns a range of a file, shorter at its end. */
  byte[] range(String name, long from, int length) {
    int count = (int) Math.max(0, Math.min(length, size - from));
    byte[] data = new byte[count];
    int seed = name.hashCode();
    for (int i = 0; i < count; i++) {
      data[i] = (byte) (seed + (from + i) * 31);
    }
    return data;
  }
}
