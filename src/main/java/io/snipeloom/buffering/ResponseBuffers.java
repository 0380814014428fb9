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
 * byte of. At the bound of a customer all its responses stop at once, and its oldest ones alone are
 * read on to their ends; read on alike, none would come to its end. A response is cut off in two
 * cases only: a slow caller's if those who read well need the room, an incomplete one before a
 * complete one and of the customer that holds most; and the youngest of those that are assembled,
 * if they alone fill a bound, since none of them could end.
 *
 * <p>Confined to the event loop thread.
 */
public final class ResponseBuffers {
  /** The most bytes that are read at once and arrive although reading has stopped. */
  private static final long READ_BYTES = 65_536;

  private final BufferBounds bounds;
  private final Set<ResponseBuffer> open = new HashSet<>();
  private final Set<ResponseBuffer> stopped = new LinkedHashSet<>();

  /** The responses that are read to their ends although their customers have no room. */
  private final Set<ResponseBuffer> finishing = new HashSet<>();

  private final Map<CustomerId, Long> heldByCustomer = new HashMap<>();
  private long heldBytes;
  private long stops;
  private long begins;
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

  long nextBegin() {
    return ++begins;
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
    onEnded(buffer);
  }

  void onComplete(ResponseBuffer buffer) {
    onEnded(buffer);
  }

  /** Lets the next responses of a customer come to their ends, if this one was read to its end. */
  private void onEnded(ResponseBuffer buffer) {
    if (finishing.remove(buffer)) {
      buffer.customer().ifPresent(this::finishOldest);
    }
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
      stop(buffer, reason.get());
      shareEndOfRoom(buffer, reason.get());
    }
    breakDeadlocks();
    if (buffer.isCutOff()) {
      return BufferDecision.CUT_OFF;
    }
    return buffer.stopReason().isPresent() ? BufferDecision.STOP_READING : BufferDecision.HOLD;
  }

  /** Stops a response whose caller is behind by what was just passed on, if no room is left. */
  void onQueued(ResponseBuffer buffer) {
    boolean reading = buffer.stopReason().isEmpty() && !buffer.isComplete();
    if (reading && stopReason(buffer, 0).equals(Optional.of(StopReason.CUSTOMER))) {
      stop(buffer, StopReason.CUSTOMER);
      buffer.tellStop();
      shareEndOfRoom(buffer, StopReason.CUSTOMER);
    }
  }

  private void stop(ResponseBuffer buffer, StopReason reason) {
    buffer.stop(reason, ++stops);
    stopped.add(buffer);
  }

  private void shareEndOfRoom(ResponseBuffer buffer, StopReason reason) {
    if (reason == StopReason.CUSTOMER) {
      buffer.customer().ifPresent(this::stopOthers);
      buffer.customer().ifPresent(this::finishOldest);
    }
  }

  /** Stops the other responses of a customer without room, before each is read once more. */
  private void stopOthers(CustomerId customer) {
    Optional<CustomerId> owner = Optional.of(customer);
    Optional<StopReason> reason = Optional.of(StopReason.CUSTOMER);
    List<ResponseBuffer> others =
        open.stream()
            .filter(buffer -> buffer.customer().equals(owner) && !buffer.isComplete())
            .filter(buffer -> buffer.stopReason().isEmpty())
            .filter(buffer -> stopReason(buffer, 0).equals(reason))
            .sorted(Comparator.comparing(ResponseBuffer::beginNumber))
            .toList();
    for (ResponseBuffer other : others) {
      stop(other, StopReason.CUSTOMER);
      other.tellStop();
    }
  }

  /** Resumes the oldest responses of a customer whose longest rests have room beyond its bound. */
  private void finishOldest(CustomerId customer) {
    Optional<CustomerId> owner = Optional.of(customer);
    List<ResponseBuffer> oldest =
        stopped.stream()
            .filter(buffer -> buffer.customer().equals(owner) && !finishing.contains(buffer))
            .filter(buffer -> buffer.stopReason().equals(Optional.of(StopReason.CUSTOMER)))
            .sorted(Comparator.comparing(ResponseBuffer::beginNumber))
            .toList();
    long limit = bounds.customerBytes() + bounds.finishBytes();
    for (ResponseBuffer buffer : oldest) {
      if (promisedBytes(owner) + restBytes(buffer) > limit) {
        return;
      }
      finishing.add(buffer);
      if (stopReason(buffer, 0).isEmpty()) {
        buffer.resume();
        buffer.tellRoom();
      }
    }
  }

  /** Returns the bytes that a customer holds once what is read to its end has come to it. */
  private long promisedBytes(Optional<CustomerId> customer) {
    long rests =
        finishing.stream()
            .filter(buffer -> buffer.customer().equals(customer))
            .mapToLong(this::restBytes)
            .sum();
    return heldBytes(customer.orElseThrow()) + rests;
  }

  /** Returns the most bytes that are yet read ahead of a caller. */
  private long restBytes(ResponseBuffer buffer) {
    return Math.max(0, bounds.callerBytes() - buffer.heldBytes());
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
    boolean customerHasRoom =
        finishing.contains(buffer)
            || heldOfCustomer(buffer) + expectedBytes < bounds.customerBytes();
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
    if (!buffer.isSlow()) {
      return bounds.yieldBytes();
    }
    return finishing.contains(buffer) ? bounds.slowLimitBytes() : bounds.slowBytes();
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
