package io.snipeloom.forwarding;

import java.util.Arrays;

/**
 * The requests that a connection has carried. A peer may respond to one of them once more at any
 * time, so that none of them may be sent on the connection again. Not thread-safe.
 */
final class CarriedRequests {
  /** The most requests, which bounds the memory and the search. */
  static final int MAX_REQUESTS = 256;

  private static final int INITIAL_CAPACITY = 8;

  private int[] hashes = new int[INITIAL_CAPACITY];
  private int count;

  /**
   * Records a request. Must not be called when {@link #isFull}.
   *
   * @param id names the request in its response; empty if nothing does
   */
  void add(String id) {
    if (id.isEmpty()) {
      return;
    }
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count] = id.hashCode();
    count++;
  }

  /** Returns whether a request was recorded; rarely also true for one that was not. */
  boolean mayContain(String id) {
    int hash = id.hashCode();
    for (int i = 0; i < count; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether no further request can be recorded. */
  boolean isFull() {
    return count >= MAX_REQUESTS;
  }
}
