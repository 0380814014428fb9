package io.snipeloom.spend;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ObjLongConsumer;

/**
 * Asks all other instances for their claims after the store has come back from an older copy of
 * itself. Until all have answered, no tokens may be claimed, since they may be claimed already.
 *
 * <p>An instance that does not answer is waited for as long as a machine is usually cut off. What
 * it claimed is then known only from those whom it told. An instance that starts asks as well,
 * since the store may have come back just before; it does not wait for those that may be gone. Not
 * thread-safe.
 */
final class ClaimInquiry {
  /** How long an instance that does not answer is waited for. */
  private static final long MAX_WAIT_NANOS = 10_000_000_000L;

  /** How long answers are waited for at a start: a few round trips between availability zones. */
  private static final long START_WAIT_NANOS = 300_000_000L;

  /** The time between two questions to an instance that has not answered. */
  private static final long ASK_INTERVAL_NANOS = 200_000_000L;

  private final ClaimPeers peers;
  private final SpendEvents events;
  private final ObjLongConsumer<List<CustomerPart>> onParts;
  private final Set<String> unheard = new HashSet<>();
  private boolean started;
  private boolean open;
  private long era;
  private long openedNanos;
  private long maxWaitNanos;
  private long askedNanos;

  /**
   * Creates an inquiry that is not open.
   *
   * @param onParts receives the claims that other instances know, and a recent monotonic time
   */
  ClaimInquiry(ClaimPeers peers, SpendEvents events, ObjLongConsumer<List<CustomerPart>> onParts) {
    this.peers = peers;
    this.events = events;
    this.onParts = onParts;
  }

  /** Opens the inquiry once, when the ledger has been read for the first time. */
  void onStarted(long firstEra, long nowNanos) {
    if (!started) {
      open(firstEra, START_WAIT_NANOS, nowNanos);
    }
  }

  /** Opens the inquiry for a new era of the store, unless that was done. */
  void onReverted(long newEra, long nowNanos) {
    if (newEra != era) {
      open(newEra, MAX_WAIT_NANOS, nowNanos);
    }
  }

  private void open(long newEra, long waitNanos, long nowNanos) {
    started = true;
    era = newEra;
    open = true;
    openedNanos = nowNanos;
    maxWaitNanos = waitNanos;
    unheard.clear();
    unheard.addAll(peers.names());
    events.onClaimsHeld(era, Set.copyOf(unheard));
    ask(nowNanos);
  }

  /** Asks those again who have not answered, and ends the inquiry when none is waited for. */
  void tick(long nowNanos) {
    if (!open) {
      return;
    }
    boolean late = nowNanos - openedNanos >= maxWaitNanos;
    if (unheard.isEmpty() || late) {
      open = false;
      events.onClaimsResumed(era, nowNanos - openedNanos, Set.copyOf(unheard));
    } else if (nowNanos - askedNanos >= ASK_INTERVAL_NANOS) {
      ask(nowNanos);
    }
  }

  private void ask(long nowNanos) {
    askedNanos = nowNanos;
    long askedEra = era;
    for (String name : List.copyOf(unheard)) {
      peers.ask(name, askedEra, parts -> onAnswer(name, askedEra, parts));
    }
  }

  private void onAnswer(String name, long askedEra, List<CustomerPart> parts) {
    onParts.accept(parts, askedNanos);
    if (askedEra == era) {
      unheard.remove(name);
    }
  }

  /** Returns whether tokens must not be claimed yet. */
  boolean isOpen() {
    return open;
  }
}
