package io.snipeloom.forwarding;

/**
 * How much a peer may send in place of its response to one request: other responses, interim ones,
 * empty lines, or pieces of a few bytes, which cost as much as long ones. Not thread-safe.
 */
final class ReceiveAllowance {
  /** What any response may cost, in bytes: a head of the longest size, and a foreign response. */
  static final long BASE_COST_BYTES = 262_144;

  /** What the handling of one piece costs beside its bytes, in bytes. */
  static final long PIECE_COST_BYTES = 64;

  /** What a byte of the response may cost, in bytes. */
  static final long MAX_COST_PER_USEFUL_BYTE = 16;

  private long costBytes;
  private long usefulBytes;

  /** Counts bytes that were read from the connection. */
  void onRead(int bytes) {
    costBytes += bytes;
  }

  /** Counts a decoded piece: a head, a chunk or the end of a response. */
  void onPiece() {
    costBytes += PIECE_COST_BYTES;
  }

  /** Counts bytes of the body of the response. */
  void onUseful(int bytes) {
    usefulBytes += bytes;
  }

  /** Returns whether the peer has sent too much that is not its response. */
  boolean isExceeded() {
    return costBytes > BASE_COST_BYTES + usefulBytes * MAX_COST_PER_USEFUL_BYTE;
  }
}
