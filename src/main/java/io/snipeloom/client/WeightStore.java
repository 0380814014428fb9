package io.snipeloom.client;

/** The rate-limited store of model weights. */
public interface WeightStore {

  /**
   * Returns a range of the bytes of a file.
   *
   * @param name the name of the file
   * @param from the first byte
   * @param length the most bytes returned
   * @return the bytes; fewer than asked at the end of the file
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#OVERLOADED} and a delay if the rate is used up, with {@link
   *     io.snipeloom.state.ErrorCode#CONNECTION_LOST} if no answer came
   */
  byte[] fetch(String name, long from, int length);
}
