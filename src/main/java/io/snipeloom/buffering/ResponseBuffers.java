package io.snipeloom.buffering;

import io.snipeloom.state.CustomerId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The bytes of responses that an instance holds for its callers.
 *
 * <p>A caller reads well while it is no more than {@link BufferBounds#smallBytes} behind. Reading
 * of a larger response stops at the bound of its caller, its customer or the process, whichever
 * comes first, and resumes in the order in which it stopped, those first that nobody has received a
 * byte of. A response is cut off in two cases only: a slow caller's if those who read well need the
 * room, an incomplete one before a complete one and of the customer that holds most; and the
 * youngest of those that are assembled, if they alone fill a bound, since none of them could end.
 *
 * <p>Confined to the event loop thread.
 */
public final class ResponseBuffers {
  /** The most bytes that are read at once and arrive although reading has stopped. */
  private static final long READ_BYTES = 65_536;

  private final BufferBounds bounds;
  private final Set<ResponseBuffer> open = new HashSet<>();
  private final Set<ResponseBuffer> stopped = new LinkedHashSet<>();
  private final Map<CustomerId, Long> heldByCustomer = new HashMap<>();
  private long heldBytes;
  private long stops;
  private long progress;

  /** Creates buffers that hold nothing. */
  public ResponseBuffers(BufferBounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Opens the buffer of a caller.
   *
   * @param reader reads the responses for the caller
   */
  public ResponseBuffer open(ResponseReader reader) {
    ResponseBuffer buffer = new ResponseBuffer(this, reader);
    open.add(buffer);
    return buffer;
  }

  /** Returns the bytes of all responses. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the bytes of all responses of a customer. */
  public long heldBytes(CustomerId customer) {
    return heldByCustomer.getOrDefault(customer, 0L);
  }

  /** Returns the number of responses that are not read for now. */
  public int stoppedResponses() {
    return stopped.size();
  }

  BufferBounds bounds() {
    return bounds;
  }

  long nextProgress() {
    return ++progress;
  }

  void add(ResponseBuffer buffer, long bytes) {
    heldBytes += bytes;
    buffer
        .customer()
        .ifPresent(
            customer -> {
              long held = heldBytes(customer) + bytes;
              if (held == 0) {
                heldByCustomer.remove(customer);
              } else {
                heldByCustomer.put(customer, held);
              }
            });
  }

  void remove(ResponseBuffer buffer) {
    open.remove(buffer);
  }

  void onResumed(ResponseBuffer buffer) {
    stopped.remove(buffer);
  }

  /**
   * Returns whether bytes that arrived may be held. If a caller who reads well finds no room, slow
   * callers make it.
   */
  boolean makeRoom(ResponseBuffer buffer, long bytes) {
    if (buffer.isSlow()) {
      boolean arrivedAfterStop = buffer.stopReason().isPresent();
      long limit = arrivedAfterStop ? bounds.slowLimitBytes() : bounds.responseBytes();
      return heldBytes + bytes <= limit;
    }
    long lacking = heldBytes + bytes - bounds.responseBytes();
    while (lacking > 0) {
      Optional<ResponseBuffer> slowest = slowest();
      if (slowest.isEmpty()) {
        break;
      }
      lacking -= slowest.get().heldBytes();
      slowest.get().cutOff();
    }
    return heldBytes + bytes <= bounds.responseBytes();
  }

  /** Decides how to go on with a response of which bytes were just counted. */
  BufferDecision decide(ResponseBuffer buffer) {
    if (!buffer.isSlow() && heldBytes >= bounds.yieldBytes()) {
      slowest().ifPresent(ResponseBuffer::cutOff);
    }
    Optional<StopReason> reason = stopReason(buffer, 0);
    if (reason.isEmpty()) {
      return BufferDecision.HOLD;
    }
    if (buffer.stopReason().isEmpty()) {
      buffer.stop(reason.get(), ++stops);
      stopped.add(buffer);
    }
    breakDeadlocks();
    if (buffer.isCutOff()) {
      return BufferDecision.CUT_OFF;
    }
    return buffer.stopReason().isPresent() ? BufferDecision.STOP_READING : BufferDecision.HOLD;
  }

  /** Resumes the stopped responses for which there is room. */
  void resumeStopped() {
    if (stopped.isEmpty()) {
      return;
    }
    List<ResponseBuffer> waiting =
        stopped.stream()
            .sorted(
                Comparator.comparing((ResponseBuffer buffer) -> !buffer.isStuck())
                    .thenComparing(ResponseBuffer::stopNumber))
            .toList();
    long expectedBytes = 0;
    for (ResponseBuffer buffer : waiting) {
      if (mayResume(buffer, expectedBytes)) {
        expectedBytes += READ_BYTES;
        buffer.resume();
        buffer.tellRoom();
      }
    }
    if (expectedBytes == 0) {
      breakDeadlocks();
    }
  }

  private boolean mayResume(ResponseBuffer buffer, long expectedBytes) {
    boolean callerBehind =
        buffer.stopReason().equals(Optional.of(StopReason.CALLER))
            && buffer.queuedBytes() > bounds.callerBytes() / 4;
    return !callerBehind && stopReason(buffer, expectedBytes).isEmpty();
  }

  private Optional<StopReason> stopReason(ResponseBuffer buffer, long expectedBytes) {
    if (buffer.queuedBytes() >= bounds.callerBytes()) {
      return Optional.of(StopReason.CALLER);
    }
    boolean customerHasRoom = heldOfCustomer(buffer) + expectedBytes < bounds.customerBytes();
    if (!customerHasRoom && buffer.queuedBytes() > bounds.smallBytes() / 4) {
      return Optional.of(StopReason.CUSTOMER);
    }
    if (buffer.isSmall()) {
      return Optional.empty();
    }
    if (!customerHasRoom) {
      return Optional.of(StopReason.CUSTOMER);
    }
    return heldBytes + expectedBytes >= processBound(buffer)
        ? Optional.of(StopReason.PROCESS)
        : Optional.empty();
  }

  private long heldOfCustomer(ResponseBuffer buffer) {
    return buffer.customer().map(this::heldBytes).orElse(0L);
  }

  private long processBound(ResponseBuffer buffer) {
    return buffer.isSlow() ? bounds.slowBytes() : bounds.yieldBytes();
  }

  private Optional<ResponseBuffer> slowest() {
    return open.stream()
        .filter(buffer -> buffer.isSlow() && !buffer.isCutOff())
        .min(
            Comparator.comparing(ResponseBuffer::isComplete)
                .thenComparing(buffer -> -heldOfCustomer(buffer))
                .thenComparing(ResponseBuffer::lastProgress));
  }

  /**
   * Cuts off the responses that stopped last while those that nobody has received a byte of fill a
   * bound alone, because then none of them would ever be read to its end.
   */
  private void breakDeadlocks() {
    cutOffYoungest(buffer -> true, bounds.yieldBytes());
    for (CustomerId customer : Set.copyOf(heldByCustomer.keySet())) {
      if (heldBytes(customer) >= bounds.customerBytes()) {
        Optional<CustomerId> owner = Optional.of(customer);
        cutOffYoungest(buffer -> buffer.customer().equals(owner), bounds.customerBytes());
      }
    }
  }

  private void cutOffYoungest(Predicate<ResponseBuffer> sharing, long boundBytes) {
    List<ResponseBuffer> stuck =
        stopped.stream()
            .filter(buffer -> buffer.isStuck() && !buffer.isCutOff() && sharing.test(buffer))
            .sorted(Comparator.comparing(ResponseBuffer::stopNumber).reversed())
            .toList();
    long stuckBytes = stuck.stream().mapToLong(ResponseBuffer::heldBytes).sum();
    for (ResponseBuffer youngest : stuck) {
      if (stuckBytes < boundBytes) {
        return;
      }
      stuckBytes -= youngest.heldBytes();
      youngest.cutOff();
    }
  }
}
