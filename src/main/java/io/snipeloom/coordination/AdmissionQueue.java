package io.snipeloom.coordination;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.snipeloom.coordination.RankedQueues.ClassQueue;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides when a router sends requests to one upstream: at once, after waiting, or not at all.
 *
 * <p>Waiting requests are ordered by urgency; within a request class, slots are shared fairly
 * between customers. A request that cannot be served before its deadline, or that is displaced by
 * another one, is refused as soon as that is known, with a retry delay.
 *
 * <p>Thread-safe. Each upstream has its own queue with its own lock. The stages of {@link
 * Admission#granted} are completed without holding the lock, on the thread whose call caused the
 * decision. Call {@link #sweep} every {@link #SWEEP_PERIOD}.
 */
public final class AdmissionQueue {
  /** How often {@link #sweep} should be called. */
  public static final Duration SWEEP_PERIOD = Duration.ofMillis(50);

  /**
   * The share of the limit that requests of the last rank leave free for more urgent ones, as a
   * divisor.
   */
  static final int RESERVE_DIVISOR = 8;

  /**
   * The share by which more urgent requests may exceed the limit and queue at the back ends, as a
   * divisor.
   */
  static final int EXCESS_DIVISOR = 8;

  /**
   * One in this many requests is taken from the least urgent class that waits, so that it cannot
   * starve.
   */
  static final int YIELD_PERIOD = 16;

  /** The minimum retry delay returned to a caller. */
  static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** The maximum retry delay returned to a caller. */
  static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

  private static final String WOULD_MISS_DEADLINE =
      "the deadline would pass before the request could be sent";
  private static final String STEP = "admit";

  private final UpstreamId upstream;
  private final LongSupplier nanoClock;
  private final int totalQueueLimit;
  private final RankedQueues<Ticket> queues = new RankedQueues<>(ticket -> ticket.offeredNanos);
  private final SlotReleaseRate releaseRate;
  private final Meter refusals;
  private final Meter grants;
  private final Timer waits;
  private int limit;
  private int inFlight;
  private int requestsTaken;

  private AdmissionQueue(
      UpstreamId upstream,
      int limit,
      int totalQueueLimit,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.upstream = upstream;
    this.limit = limit;
    this.totalQueueLimit = totalQueueLimit;
    this.nanoClock = nanoClock;
    this.releaseRate = new SlotReleaseRate(nanoClock.getAsLong());
    String prefix = "admission." + upstream;
    this.refusals = metrics.meter(prefix + ".refused");
    this.grants = metrics.meter(prefix + ".granted");
    this.waits = metrics.timer(prefix + ".wait");
    metrics.gauge(prefix + ".queued", () -> this::queued);
    metrics.gauge(prefix + ".inFlight", () -> this::inFlight);
    metrics.gauge(prefix + ".limit", () -> this::limit);
  }

  /**
   * Returns an empty queue.
   *
   * @param limit the maximum number of requests that this router may have in flight
   * @param totalQueueLimit the maximum number of waiting requests, over all classes
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for the metrics of the queue
   */
  public static AdmissionQueue of(
      UpstreamId upstream,
      int limit,
      int totalQueueLimit,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    return new AdmissionQueue(upstream, limit, totalQueueLimit, nanoClock, metrics);
  }

  /**
   * Asks for the admission of a request.
   *
   * @return the admission, with the decision
   */
  public Admission offer(AdmissionRequest request) {
    List<Ticket> decided = new ArrayList<>();
    Ticket ticket;
    synchronized (this) {
      long now = advance();
      ticket = new Ticket(request, now);
      decide(ticket, now, decided);
      ticket.decision = ticket.state.decision();
    }
    completeAll(decided);
    return ticket;
  }

  /**
   * Sets the maximum number of requests in flight; see {@link ConcurrencyLimit}.
   *
   * @param newLimit the limit; 0 while no back end is usable
   */
  public void setLimit(int newLimit) {
    List<Ticket> decided = new ArrayList<>();
    synchronized (this) {
      long now = advance();
      limit = newLimit;
      admitNext(now, decided);
    }
    completeAll(decided);
  }

  /**
   * Grants waiting requests for which a slot is free, and refuses those that can no longer be
   * served before their deadline.
   */
  public void sweep() {
    List<Ticket> decided = new ArrayList<>();
    synchronized (this) {
      long now = advance();
      admitNext(now, decided);
      refuseLate(now, decided);
    }
    completeAll(decided);
  }

  /** Returns the number of waiting requests. */
  public synchronized int queued() {
    return queues.size();
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns the maximum number of requests in flight. */
  public synchronized int limit() {
    return limit;
  }

  private long advance() {
    long now = nanoClock.getAsLong();
    releaseRate.advance(now, inFlight > 0 || queues.size() > 0);
    return now;
  }

  private void decide(Ticket ticket, long now, List<Ticket> decided) {
    ClassQueue<Ticket> queue = queues.of(ticket.request.requestClass());
    if (now - ticket.request.deadlineNanos() >= 0) {
      refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", decided);
      return;
    }
    if (limit <= 0) {
      refuse(ticket, ErrorCode.NO_UPSTREAM, "no back end is usable", decided);
      return;
    }
    if (queues.sizeBefore(queue.rank() + 1) == 0 && hasSlot(queue.rank())) {
      grant(ticket, now, decided);
      return;
    }
    if (now + expectedWaitNanos(ticket, queue) > ticket.request.deadlineNanos()) {
      refuse(ticket, ErrorCode.OVERLOADED, WOULD_MISS_DEADLINE, decided);
      return;
    }
    if (!makeRoom(ticket, queue, decided)) {
      refuse(ticket, ErrorCode.OVERLOADED, "too many requests are waiting", decided);
      return;
    }
    queue.waiting().add(ticket.request.customer(), ticket.request.cost(), ticket);
  }

  private boolean makeRoom(Ticket ticket, ClassQueue<Ticket> queue, List<Ticket> decided) {
    if (queue.waiting().size() >= queue.limit()) {
      int ownWaiting = queue.waiting().sizeOf(ticket.request.customer());
      if (ownWaiting + 1 >= queue.waiting().longestQueueSize()) {
        return false;
      }
      displaceNewest(queue, "displaced by a customer with fewer waiting requests", decided);
    }
    if (queues.size() < totalQueueLimit) {
      return true;
    }
    ClassQueue<Ticket> leastUrgent = queues.leastUrgent();
    if (leastUrgent == null || leastUrgent.rank() <= queue.rank()) {
      return false;
    }
    displaceNewest(leastUrgent, "displaced by a more urgent request", decided);
    return true;
  }

  private void displaceNewest(ClassQueue<Ticket> queue, String reason, List<Ticket> decided) {
    refuse(queue.waiting().pollNewestOfLongestQueue(), ErrorCode.OVERLOADED, reason, decided);
  }

  private void refuseLate(long now, List<Ticket> decided) {
    List<Ticket> late = queues.removeIf(ticket -> willMissDeadline(ticket, now));
    late.forEach(ticket -> refuse(ticket, ErrorCode.OVERLOADED, WOULD_MISS_DEADLINE, decided));
  }

  private boolean willMissDeadline(Ticket ticket, long now) {
    double minWaitNanos = releaseRate.nanosFor(queues.sizeBefore(ticket.rank()) + 1, limit);
    return now + minWaitNanos > ticket.request.deadlineNanos();
  }

  private void admitNext(long now, List<Ticket> decided) {
    ClassQueue<Ticket> next = nextQueue();
    while (next != null) {
      Ticket ticket = next.waiting().poll();
      requestsTaken++;
      if (now - ticket.request.deadlineNanos() >= 0) {
        refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", decided);
      } else {
        grant(ticket, now, decided);
      }
      next = nextQueue();
    }
  }

  private ClassQueue<Ticket> nextQueue() {
    boolean leastUrgentFirst = requestsTaken % YIELD_PERIOD == YIELD_PERIOD - 1;
    return leastUrgentFirst
        ? queues.next(rank -> hasSlot(0), true)
        : queues.next(this::hasSlot, false);
  }

  private boolean hasSlot(int rank) {
    if (limit <= 0) {
      return false;
    }
    return isLastRank(rank)
        ? inFlight < Math.max(1, limit - limit / RESERVE_DIVISOR)
        : inFlight < limit + limit / EXCESS_DIVISOR;
  }

  private static boolean isLastRank(int rank) {
    return rank >= Urgency.CAN_WAIT.rank();
  }

  private void grant(Ticket ticket, long now, List<Ticket> decided) {
    ticket.state = State.GRANTED;
    ticket.grantedNanos = now;
    inFlight++;
    grants.mark();
    waits.update(now - ticket.offeredNanos, TimeUnit.NANOSECONDS);
    decided.add(ticket);
  }

  private void refuse(Ticket ticket, ErrorCode code, String reason, List<Ticket> decided) {
    ticket.state = State.REFUSED;
    ticket.refusal =
        SnipeloomException.of(code, reason)
            .withOrigin(STEP, upstream.value())
            .withRetryAfter(retryAfter(ticket));
    refusals.mark();
    decided.add(ticket);
  }

  private Duration retryAfter(Ticket ticket) {
    ClassQueue<Ticket> queue = queues.of(ticket.request.requestClass());
    double requestsAhead = queues.sizeBefore(queue.rank() + 1);
    Duration wait = Duration.ofNanos((long) releaseRate.nanosFor(requestsAhead + 1, limit));
    if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
      return MIN_RETRY_AFTER;
    }
    return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
  }

  private double expectedWaitNanos(Ticket ticket, ClassQueue<Ticket> queue) {
    int ownWaiting = queue.waiting().sizeOf(ticket.request.customer());
    double customers = queue.waiting().customerCount() + (ownWaiting == 0 ? 1 : 0);
    int sameRank = queues.sizeBefore(queue.rank() + 1) - queues.sizeBefore(queue.rank());
    double requestsAhead = Math.min(sameRank, ownWaiting * customers);
    return releaseRate.nanosFor(queues.sizeBefore(queue.rank()) + requestsAhead + 1, limit);
  }

  private static void completeAll(List<Ticket> decided) {
    for (Ticket ticket : decided) {
      ticket.complete();
    }
  }

  /** The state of a request within the queue. */
  private enum State {
    QUEUED(Admission.Decision.QUEUED),
    GRANTED(Admission.Decision.GRANTED),
    REFUSED(Admission.Decision.REFUSED),
    RELEASED(Admission.Decision.GRANTED);

    private final Admission.Decision decision;

    State(Admission.Decision decision) {
      this.decision = decision;
    }

    private Admission.Decision decision() {
      return decision;
    }
  }

  /** One request. Its mutable fields are guarded by the lock of the queue. */
  private final class Ticket implements Admission {
    private final AdmissionRequest request;
    private final long offeredNanos;
    private final CompletableFuture<Void> granted = new CompletableFuture<>();
    private State state = State.QUEUED;
    private Decision decision = Decision.QUEUED;
    private long grantedNanos;
    private SnipeloomException refusal;

    private Ticket(AdmissionRequest request, long offeredNanos) {
      this.request = request;
      this.offeredNanos = offeredNanos;
    }

    private int rank() {
      return request.requestClass().urgency().rank();
    }

    private void complete() {
      if (refusal != null) {
        granted.completeExceptionally(refusal);
      } else {
        granted.complete(null);
      }
    }

    @Override
    public Decision decision() {
      return decision;
    }

    @Override
    public CompletionStage<Void> granted() {
      return granted;
    }

    @Override
    public void release() {
      List<Ticket> decided = new ArrayList<>();
      synchronized (AdmissionQueue.this) {
        long now = advance();
        releaseLocked(now);
        admitNext(now, decided);
      }
      completeAll(decided);
    }

    private void releaseLocked(long now) {
      if (state == State.GRANTED) {
        inFlight--;
        releaseRate.released(now - grantedNanos);
      } else if (state == State.QUEUED) {
        queues.of(request.requestClass()).waiting().removeIf(this::equals);
      }
      state = state == State.REFUSED ? State.REFUSED : State.RELEASED;
    }
  }
}
