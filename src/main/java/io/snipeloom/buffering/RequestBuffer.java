package io.snipeloom.buffering;

import io.snipeloom.state.CustomerId;
import java.util.Optional;

/**
 * The bytes of the body of one request. Its users each release it once; the bytes are released with
 * the last of them. Confined to the event loop thread.
 */
public final class RequestBuffer {
  private final RequestBuffers buffers;
  private final Optional<CustomerId> customer;
  private long heldBytes;
  private int users = 1;

  RequestBuffer(RequestBuffers buffers, Optional<CustomerId> customer) {
    this.buffers = buffers;
    this.customer = customer;
  }

  /**
   * Holds more bytes, if there is room.
   *
   * @param bytes the bytes to be held in all
   * @return whether they are held; if not, what was held before still is
   */
  public boolean tryGrowTo(long bytes) {
    if (bytes <= heldBytes) {
      return true;
    }
    if (!buffers.hasRoom(customer, heldBytes, bytes)) {
      return false;
    }
    buffers.change(customer, heldBytes, bytes);
    heldBytes = bytes;
    return true;
  }

  /** Adds a user of the bytes. */
  public void retain() {
    if (users == 0) {
      throw new IllegalStateException("the bytes were released");
    }
    users++;
  }

  /** Ends the use of the bytes by one of their users. */
  public void release() {
    if (users == 0) {
      throw new IllegalStateException("the bytes were released");
    }
    users--;
    if (users == 0) {
      buffers.change(customer, heldBytes, 0);
      heldBytes = 0;
    }
  }
}
