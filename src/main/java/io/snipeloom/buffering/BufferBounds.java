package io.snipeloom.buffering;

/**
 * How many bytes an instance holds for those that read slowly. Immutable and thread-safe.
 *
 * @param smallBytes how far a caller may be behind its response and still count as one that reads
 *     well; a response of no more than that is always held
 * @param callerBytes how far a caller may be behind until reading its response stops
 * @param customerBytes the bytes of all responses of a customer from which on its large ones are no
 *     longer read
 * @param responseBytes the bytes of all responses
 * @param requestBytes the bytes of the bodies of all requests
 * @param replicaBytes the bytes of request bodies that wait to be written to one replica
 */
public record BufferBounds(
    long smallBytes,
    long callerBytes,
    long customerBytes,
    long responseBytes,
    long requestBytes,
    long replicaBytes) {

  private static final long BYTES_PER_MEGABYTE = 1_048_576;
  private static final long SMALL_BYTES = 65_536;

  /** As far as a caller may be behind where nothing limits the memory of the process. */
  private static final long UNLIMITED_CALLER_BYTES = 262_144;

  private static final long MEMORY_PER_RESPONSE_BYTES = 12;
  private static final long HEAP_PER_RESPONSE_BYTES = 4;

  /** Large enough to be no bound, small enough to be added to. */
  private static final long NO_BOUND = Long.MAX_VALUE / 4;

  /** The bounds where nothing limits the memory of the process: only reading ahead is bounded. */
  public static final BufferBounds UNLIMITED =
      new BufferBounds(
          UNLIMITED_CALLER_BYTES, UNLIMITED_CALLER_BYTES, NO_BOUND, NO_BOUND, NO_BOUND, NO_BOUND);

  /** Checks the bounds. */
  public BufferBounds {
    if (smallBytes < 1 || callerBytes < smallBytes || responseBytes < 1 || requestBytes < 1) {
      throw new IllegalArgumentException("bounds must be positive and in order");
    }
  }

  /**
   * Returns the bounds of a process whose memory is limited.
   *
   * @param memoryMegabytes the memory that the process may use
   * @param heapBytes the largest heap of the process
   */
  public static BufferBounds of(int memoryMegabytes, long heapBytes) {
    long responses =
        Math.max(
            SMALL_BYTES,
            Math.min(
                memoryMegabytes * BYTES_PER_MEGABYTE / MEMORY_PER_RESPONSE_BYTES,
                heapBytes / HEAP_PER_RESPONSE_BYTES));
    long requests = responses / 2;
    return new BufferBounds(
        SMALL_BYTES,
        Math.max(SMALL_BYTES, responses / 16),
        responses / 2,
        responses,
        requests,
        requests / 2);
  }

  /** Returns whether the memory of the process is limited. */
  public boolean isLimited() {
    return responseBytes < NO_BOUND;
  }

  /** Returns the bytes beyond its bound with which a customer's oldest responses come to an end. */
  long finishBytes() {
    return 3 * callerBytes;
  }

  /** Returns the bytes of all responses from which on slow callers yield to those who read well. */
  long yieldBytes() {
    return responseBytes - responseBytes / 8;
  }

  /** Returns the bytes of all responses from which on those of slow callers are no longer read. */
  long slowBytes() {
    return responseBytes - responseBytes / 4;
  }

  /** Returns the bytes of all responses from which on no more are held for a slow caller. */
  long slowLimitBytes() {
    return responseBytes - responseBytes * 3 / 16;
  }
}
