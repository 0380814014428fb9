package io.snipeloom.routing;

/**
 * The limits on the requests of all instances together to a replica, and what this instance may
 * still send of its shares: the limit that the replica states, and the bound while it is cold.
 *
 * <p>A share of a stated limit that is not used is saved up for one second at most, or for one
 * request; of the bound of a cold replica nothing is saved up. Not thread-safe.
 */
public final class ReplicaLimit {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ReplicaId replica;
  private StatedLimit stated = StatedLimit.NONE;
  private long statedNanos;
  private double available;
  private long availableNanos;
  private long usedTurn = -1;
  private ColdStart coldStart = ColdStart.NONE;
  private final WarmUp warmUp = new WarmUp();
  private final SendWindow window = new SendWindow();

  /**
   * Creates the limit of a replica that has stated none.
   *
   * @param replica the replica
   */
  public ReplicaLimit(ReplicaId replica) {
    this.replica = replica;
  }

  /**
   * Records what a response says of the limit. What cannot be read changes nothing, and a limit
   * ends only with a response to a request that was sent after the limit was stated last.
   *
   * @param limit what the response says
   * @param sentNanos when its request was sent
   * @param nowNanos the current time
   */
  public void onStated(StatedLimit limit, long sentNanos, long nowNanos) {
    if (limit.kind() == StatedLimit.Kind.UNREADABLE) {
      return;
    }
    boolean limited = isLimited();
    if (limit.kind() == StatedLimit.Kind.NONE) {
      if (limited && sentNanos - statedNanos >= 0) {
        stated = limit;
      }
      return;
    }
    if (!limited) {
      available = 0;
      availableNanos = nowNanos;
    }
    stated = limit;
    statedNanos = nowNanos;
  }

  /** Returns the limit that holds. */
  public StatedLimit stated() {
    return stated;
  }

  /** Returns for how long the replica counts as cold. */
  public WarmUp warmUp() {
    return warmUp;
  }

  /** Replaces what is configured of cold replicas of the service. */
  public void changeColdStart(ColdStart configured) {
    coldStart = configured;
  }

  /**
   * Records what an answer says of how long the replica stays cold.
   *
   * @param report what it says
   * @param sentNanos when its request was sent
   * @param nowNanos the current time
   */
  public void onColdReport(ColdReport report, long sentNanos, long nowNanos) {
    warmUp.onAnswer(report, sentNanos, coldStart, nowNanos);
  }

  /**
   * Records that a connection to the replica was there for a request.
   *
   * @param nowNanos the current time
   */
  public void onReached(long nowNanos) {
    warmUp.onReached(coldStart, nowNanos);
  }

  /**
   * Returns how long the replica still counts as cold, in milliseconds; 0 if it is not cold.
   *
   * @param nowNanos the current time
   */
  public long coldMillis(long nowNanos) {
    long remainingNanos = warmUp.remainingNanos(coldStart, nowNanos);
    boolean cold = coldStart.isBounded() && remainingNanos > 0;
    return cold ? (remainingNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI : 0;
  }

  /**
   * Returns whether there is a bound on the requests to the replica, because it is cold or was a
   * moment ago.
   *
   * @param nowNanos the current time
   */
  public boolean isWarmingUp(long nowNanos) {
    return warmUp.requestsPerSecond(coldStart, nowNanos) != WarmUp.UNBOUNDED;
  }

  /** Returns how many requests this instance may send to the replica within a second. */
  private int mostInSecond(LimitShares shares, long nowNanos) {
    int total = warmUp.requestsPerSecond(coldStart, nowNanos);
    return total == WarmUp.UNBOUNDED
        ? WarmUp.UNBOUNDED
        : shares.wholeShareOf(replica, total, nowNanos);
  }

  /**
   * Counts a request that is sent now, if the replica may receive it. It may have become cold since
   * it was chosen, and the request may have waited for a connection.
   *
   * @param shares the shares of this instance
   * @param nowNanos the current time
   * @return false if the request may not be sent
   */
  boolean trySend(LimitShares shares, long nowNanos) {
    return !coldStart.isBounded() || window.trySend(mostInSecond(shares, nowNanos), nowNanos);
  }

  private boolean isLimited() {
    return stated.kind() == StatedLimit.Kind.STATED;
  }

  /**
   * Returns whether this instance may send a request to the replica.
   *
   * @param shares the shares of this instance
   * @param nowNanos the current time
   */
  boolean mayReceive(LimitShares shares, long nowNanos) {
    return mayReceiveByStatedLimit(shares, nowNanos)
        && (!coldStart.isBounded() || window.size(nowNanos) < mostInSecond(shares, nowNanos));
  }

  private boolean mayReceiveByStatedLimit(LimitShares shares, long nowNanos) {
    return !isLimited() || availableAt(shares, nowNanos) >= 1 || isUnusedTurn(shares);
  }

  /**
   * Counts a request that is about to be sent.
   *
   * @param shares the shares of this instance
   * @param nowNanos the current time
   */
  void onPicked(LimitShares shares, long nowNanos) {
    if (coldStart.isBounded()) {
      window.reserve(nowNanos);
    }
    if (!isLimited()) {
      return;
    }
    available = availableAt(shares, nowNanos);
    availableNanos = nowNanos;
    if (available >= 1) {
      available--;
    } else {
      usedTurn = shares.ownTurn();
    }
  }

  private double availableAt(LimitShares shares, long nowNanos) {
    double share = shares.shareOf(replica, stated.perSecond());
    double added = share * Math.max(0, nowNanos - availableNanos) / NANOS_PER_SECOND;
    return Math.min(Math.max(1, share), available + added);
  }

  private boolean isUnusedTurn(LimitShares shares) {
    long turn = shares.ownTurn();
    return turn >= 0 && turn != usedTurn && shares.shareOf(replica, stated.perSecond()) == 0;
  }
}
