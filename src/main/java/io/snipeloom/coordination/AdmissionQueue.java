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
 * <p>Waiting requests are ordered by the rank of their urgency, and within a request class evenly
 * between customers. A request that can't be served before its deadline, or that gives way to more
 * urgent ones, is refused as soon as that is known and is told when to come back.
 *
 * <p>Thread-safe; each upstream has its own queue under its own lock, and turns complete outside of
 * it on the thread that made them possible. Call {@link #sweep} every {@link #SWEEP_PERIOD}.
 */
public final class AdmissionQueue {
  /** How often {@link #sweep} should be called. */
  public static final Duration SWEEP_PERIOD = Duration.ofMillis(50);

  /** The divisor of the slots that work of the last rank leaves free for urgent work. */
  static final int RESERVE_DIVISOR = 8;

  /** The divisor of the slots by which urgent work may exceed them and queue at back ends. */
  static final int EXCESS_DIVISOR = 8;

  /** Of so many turns, one goes to the least urgent that waits, so that it cannot starve. */
  static final int YIELD_PERIOD = 16;

  /** The shortest time to come back that is told to a caller. */
  static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** The longest time to come back that is told to a caller. */
  static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

  private static final String WOULD_BE_LATE = "the deadline would pass while waiting";
  private static final String STEP = "admit";

  private final UpstreamId upstream;
  private final LongSupplier nanoClock;
  private final int totalQueueLimit;
  private final RankedQueues<Ticket> queues = new RankedQueues<>(ticket -> ticket.offeredNanos);
  private final SlotReleaseRate drain;
  private final Meter refusals;
  private final Meter grants;
  private final Timer waits;
  private int limit;
  private int inFlight;
  private int turns;

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
    this.drain = new SlotReleaseRate(nanoClock.getAsLong());
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
   * @param upstream the upstream
   * @param limit the requests that may be in flight from this router
   * @param totalQueueLimit the most requests that may wait, over all classes
   * @param nanoClock the clock in nanoseconds
   * @param metrics receives the counts and times
   * @return the queue
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
   * Offers a request.
   *
   * @param request the request
   * @return the decision
   */
  public Admission offer(AdmissionRequest request) {
    List<Ticket> done = new ArrayList<>();
    Ticket ticket;
    synchronized (this) {
      long now = advance();
      ticket = new Ticket(request, now);
      decide(ticket, now, done);
      ticket.decision = ticket.state.decision();
    }
    finish(done);
    return ticket;
  }

  /**
   * Changes the requests that may be in flight; see {@link ConcurrencyLimit}.
   *
   * @param newLimit the limit; 0 while no back end is usable
   */
  public void setLimit(int newLimit) {
    List<Ticket> done = new ArrayList<>();
    synchronized (this) {
      long now = advance();
      limit = newLimit;
      admitNext(now, done);
    }
    finish(done);
  }

  /** Refuses the waiting requests that can't be served before their deadline any more. */
  public void sweep() {
    List<Ticket> done = new ArrayList<>();
    synchronized (this) {
      long now = advance();
      admitNext(now, done);
      sweepLate(now, done);
    }
    finish(done);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests
   */
  public synchronized int queued() {
    return queues.size();
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number of requests
   */
  public synchronized int inFlight() {
    return inFlight;
  }

  /**
   * Returns the requests that may be in flight.
   *
   * @return the limit
   */
  public synchronized int limit() {
    return limit;
  }

  private long advance() {
    long now = nanoClock.getAsLong();
    drain.advance(now, inFlight > 0 || queues.size() > 0);
    return now;
  }

  private void decide(Ticket ticket, long now, List<Ticket> done) {
    ClassQueue<Ticket> queue = queues.of(ticket.request.requestClass());
    if (now - ticket.request.deadlineNanos() >= 0) {
      refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", done);
      return;
    }
    if (limit <= 0) {
      refuse(ticket, ErrorCode.NO_UPSTREAM, "no back end is usable", done);
      return;
    }
    if (queues.sizeBefore(queue.rank() + 1) == 0 && hasSlot(queue.rank())) {
      grant(ticket, now, done);
      return;
    }
    if (now + expectedWaitNanos(ticket, queue) > ticket.request.deadlineNanos()) {
      refuse(ticket, ErrorCode.OVERLOADED, WOULD_BE_LATE, done);
      return;
    }
    if (!makeRoom(ticket, queue, done)) {
      refuse(ticket, ErrorCode.OVERLOADED, "too many requests are waiting", done);
      return;
    }
    queue.waiting().add(ticket.request.customer(), ticket.request.cost(), ticket);
  }

  private boolean makeRoom(Ticket ticket, ClassQueue<Ticket> queue, List<Ticket> done) {
    if (queue.waiting().size() >= queue.limit()) {
      int own = queue.waiting().sizeOf(ticket.request.customer());
      if (own + 1 >= queue.waiting().longestLane()) {
        return false;
      }
      shedTail(queue, "a customer with fewer waiting requests came", done);
    }
    if (queues.size() < totalQueueLimit) {
      return true;
    }
    ClassQueue<Ticket> last = queues.last();
    if (last == null || last.rank() <= queue.rank()) {
      return false;
    }
    shedTail(last, "a more urgent request came", done);
    return true;
  }

  private void shedTail(ClassQueue<Ticket> queue, String reason, List<Ticket> done) {
    refuse(queue.waiting().pollLongestTail(), ErrorCode.OVERLOADED, reason, done);
  }

  private void sweepLate(long now, List<Ticket> done) {
    List<Ticket> late = queues.removeIf(ticket -> isLate(ticket, now));
    late.forEach(ticket -> refuse(ticket, ErrorCode.OVERLOADED, WOULD_BE_LATE, done));
  }

  private boolean isLate(Ticket ticket, long now) {
    double soonest = drain.nanosFor(queues.sizeBefore(ticket.rank()) + 1, limit);
    return now + soonest > ticket.request.deadlineNanos();
  }

  private void admitNext(long now, List<Ticket> done) {
    ClassQueue<Ticket> next = nextQueue();
    while (next != null) {
      Ticket ticket = next.waiting().poll();
      turns++;
      if (now - ticket.request.deadlineNanos() >= 0) {
        refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", done);
      } else {
        grant(ticket, now, done);
      }
      next = nextQueue();
    }
  }

  private ClassQueue<Ticket> nextQueue() {
    boolean yields = turns % YIELD_PERIOD == YIELD_PERIOD - 1;
    return yields ? queues.next(rank -> hasSlot(0), true) : queues.next(this::hasSlot, false);
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

  private void grant(Ticket ticket, long now, List<Ticket> done) {
    ticket.state = State.GRANTED;
    ticket.grantedNanos = now;
    inFlight++;
    grants.mark();
    waits.update(now - ticket.offeredNanos, TimeUnit.NANOSECONDS);
    done.add(ticket);
  }

  private void refuse(Ticket ticket, ErrorCode code, String reason, List<Ticket> done) {
    ticket.state = State.REFUSED;
    ticket.refusal =
        SnipeloomException.of(code, reason)
            .withOrigin(STEP, upstream.value())
            .withRetryAfter(retryAfter(ticket));
    refusals.mark();
    done.add(ticket);
  }

  private Duration retryAfter(Ticket ticket) {
    ClassQueue<Ticket> queue = queues.of(ticket.request.requestClass());
    double ahead = queues.sizeBefore(queue.rank() + 1);
    Duration wait = Duration.ofNanos((long) drain.nanosFor(ahead + 1, limit));
    if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
      return MIN_RETRY_AFTER;
    }
    return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
  }

  private double expectedWaitNanos(Ticket ticket, ClassQueue<Ticket> queue) {
    int own = queue.waiting().sizeOf(ticket.request.customer());
    double customers = queue.waiting().lanes() + (own == 0 ? 1 : 0);
    int sameRank = queues.sizeBefore(queue.rank() + 1) - queues.sizeBefore(queue.rank());
    double ahead = Math.min(sameRank, own * customers);
    return drain.nanosFor(queues.sizeBefore(queue.rank()) + ahead + 1, limit);
  }

  private static void finish(List<Ticket> done) {
    for (Ticket ticket : done) {
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

  /** One request; its fields are guarded by the queue. */
  private final class Ticket implements Admission {
    private final AdmissionRequest request;
    private final long offeredNanos;
    private final CompletableFuture<Void> turn = new CompletableFuture<>();
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
        turn.completeExceptionally(refusal);
      } else {
        turn.complete(null);
      }
    }

    @Override
    public Decision decision() {
      return decision;
    }

    @Override
    public CompletionStage<Void> granted() {
      return turn;
    }

    @Override
    public void release() {
      List<Ticket> done = new ArrayList<>();
      synchronized (AdmissionQueue.this) {
        long now = advance();
        releaseLocked(now);
        admitNext(now, done);
      }
      finish(done);
    }

    private void releaseLocked(long now) {
      if (state == State.GRANTED) {
        inFlight--;
        drain.released(now - grantedNanos);
      } else if (state == State.QUEUED) {
        queues.of(request.requestClass()).waiting().removeIf(this::equals);
      }
      state = state == State.REFUSED ? State.REFUSED : State.RELEASED;
    }
  }
}
