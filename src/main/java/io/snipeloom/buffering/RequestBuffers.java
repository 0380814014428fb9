package io.snipeloom.buffering;

import io.snipeloom.state.CustomerId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The bytes of request bodies that an instance holds, from the first byte until no replica can be
 * sent them any more. What cannot be held is refused before it is read, if its length is stated.
 *
 * <p>A quarter of the bound is kept for small bodies. One customer's large bodies may take half of
 * it, and a single one what it needs. Confined to the event loop thread.
 */
public final class RequestBuffers {
  private final BufferBounds bounds;
  private final Map<CustomerId, Long> largeByCustomer = new HashMap<>();
  private long heldBytes;

  /** Creates buffers that hold nothing. */
  public RequestBuffers(BufferBounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Opens the buffer of a request, which holds nothing yet.
   *
   * @param customer the customer, empty if it is not known
   */
  public RequestBuffer open(Optional<CustomerId> customer) {
    return new RequestBuffer(this, customer);
  }

  /**
   * Returns whether a body of a length is small, so that it is held unless the bound is used up.
   */
  public boolean isSmall(long bytes) {
    return bytes <= bounds.smallBytes();
  }

  /** Returns the bytes of all request bodies. */
  public long heldBytes() {
    return heldBytes;
  }

  boolean hasRoom(Optional<CustomerId> customer, long before, long now) {
    long added = now - before;
    if (isSmall(now)) {
      return heldBytes + added <= bounds.requestBytes();
    }
    long held = customer.map(known -> largeByCustomer.getOrDefault(known, 0L)).orElse(0L);
    boolean alone = held == (isSmall(before) ? 0 : before);
    boolean customerHasRoom = alone || held + now <= bounds.requestBytes() / 2;
    return customerHasRoom && heldBytes + added <= bounds.requestBytes() * 3 / 4;
  }

  void change(Optional<CustomerId> customer, long before, long now) {
    heldBytes += now - before;
    long large = (isSmall(now) ? 0 : now) - (isSmall(before) ? 0 : before);
    if (customer.isPresent() && large != 0) {
      largeByCustomer.merge(customer.get(), large, Long::sum);
      largeByCustomer.remove(customer.get(), 0L);
    }
  }
}
