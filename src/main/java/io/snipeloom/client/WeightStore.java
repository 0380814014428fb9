package io.snipeloom.client;

/** The store of model weights. Its transfer rate is limited. */
public interface WeightStore {

  /**
   * Returns a range of bytes of a file.
   *
   * @param offset the offset of the first byte
   * @param length the maximum number of bytes to return
   * @return the bytes; fewer than requested at the end of the file
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#OVERLOADED} and a retry delay if the rate limit is exceeded,
   *     with {@link io.snipeloom.state.ErrorCode#CONNECTION_LOST} if the store does not respond
   */
  byte[] fetch(String name, long offset, int length);
}
