package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reports the use of claims, and takes over what the incarnation before left unused.
 *
 * <p>The first report replaces that of the incarnation before, so the rest is taken over once, even
 * if this incarnation dies the moment after. A report whose outcome is unknown is repeated
 * unchanged at the same offset. Not thread-safe.
 */
final class UsageJournal {
  /** The time between reports; what is used meanwhile is lost with a kill. */
  private static final long INTERVAL_NANOS = 250_000_000L;

  /** The shortest time between reports that are due earlier. */
  private static final long URGENT_INTERVAL_NANOS = 20_000_000L;

  private static final long PAUSE_NANOS = 150_000_000L;

  private final String writer;
  private final MachineClock clock;
  private final long startNanos;
  private final UsageStore store;
  private final SpendEvents events;
  private final Collection<CustomerAccount> accounts;
  private final Heirs heirs;
  private boolean known;
  private boolean busy;
  private boolean urgent;
  private long end;
  private long sequence;
  private long pausedUntilNanos = Long.MIN_VALUE / 2;
  private long lastNanos = Long.MIN_VALUE / 2;
  private UsageReport open;
  private Map<CustomerId, Long> inherited = new LinkedHashMap<>();

  /** Takes over tokens of the incarnation before. */
  interface Heirs {

    /** Adds tokens to the hand of a customer, whose prepaid total may not be known yet. */
    void inherit(CustomerId customer, long tokens, long nowNanos);
  }

  UsageJournal(
      String writer,
      MachineClock clock,
      long startNanos,
      UsageStore store,
      SpendEvents events,
      Collection<CustomerAccount> accounts,
      Heirs heirs) {
    this.writer = writer;
    this.clock = clock;
    this.startNanos = startNanos;
    this.store = store;
    this.events = events;
    this.accounts = accounts;
    this.heirs = heirs;
  }

  /** Asks for a report as soon as possible. */
  void hurry() {
    urgent = true;
  }

  boolean isSettled() {
    return !busy && open == null && !urgent;
  }

  /** Starts the next call, if one is due and none is under way. */
  void pump(long nowNanos) {
    if (busy || nowNanos - pausedUntilNanos < 0) {
      return;
    }
    if (!known) {
      look(nowNanos);
      return;
    }
    long interval = urgent ? URGENT_INTERVAL_NANOS : INTERVAL_NANOS;
    if (open == null && nowNanos - lastNanos >= interval) {
      open = report(nowNanos);
    }
    if (open != null) {
      append(nowNanos);
    }
  }

  private void look(long nowNanos) {
    busy = true;
    store.newest(
        new UsageStore.NewestListener() {
          @Override
          public void onReport(Optional<UsageReport> report, long newEnd) {
            busy = false;
            onNewest(report, newEnd, nowNanos);
          }

          @Override
          public void onFailed() {
            pause(nowNanos);
          }
        });
  }

  private void onNewest(Optional<UsageReport> report, long newEnd, long nowNanos) {
    end = newEnd;
    known = true;
    boolean own = report.map(found -> found.writer().equals(writer)).orElse(false);
    if (open != null && own && report.get().sequence() == open.sequence()) {
      confirm(nowNanos);
    } else if (open != null) {
      discardOpen();
    }
    if (sequence == 0 && !own) {
      inherited = report.map(this::unusedOf).orElse(inherited);
    }
    pump(nowNanos);
  }

  /** The incarnation before was dead when this one started, so its use ended by then. */
  private Map<CustomerId, Long> unusedOf(UsageReport before) {
    boolean sameClock = before.clock().isSame(clock) && startNanos >= before.nanos();
    long elapsedNanos = clock.mostElapsedNanos(before.clock(), before.nanos(), startNanos);
    events.onPredecessor(before.writer(), elapsedNanos, sameClock);
    Map<CustomerId, Long> unused = new LinkedHashMap<>();
    if (sameClock) {
      for (UsageReport.Use use : before.uses()) {
        long tokens = use.unused(elapsedNanos);
        if (tokens > 0) {
          unused.put(use.customer(), tokens);
        }
      }
    }
    return unused;
  }

  private void append(long nowNanos) {
    busy = true;
    store.append(
        end,
        open,
        new LedgerStore.AppendListener() {
          @Override
          public void onAppended() {
            busy = false;
            end++;
            confirm(nowNanos);
          }

          @Override
          public void onConflict() {
            busy = false;
            known = false;
            pump(nowNanos);
          }

          @Override
          public void onUnknown() {
            pause(nowNanos);
          }
        });
  }

  private UsageReport report(long nowNanos) {
    List<UsageReport.Use> uses = new ArrayList<>();
    for (CustomerAccount account : accounts) {
      UsageReport.Use use = account.state(nowNanos, inherited.getOrDefault(account.customer(), 0L));
      if (use.grantedTokens() > 0) {
        uses.add(use);
      }
    }
    inherited.forEach(
        (customer, tokens) -> {
          if (uses.stream().noneMatch(use -> use.customer().equals(customer))) {
            uses.add(new UsageReport.Use(customer, tokens, 0, 0, 0, 0));
          }
        });
    urgent = false;
    lastNanos = nowNanos;
    UsageReport report = new UsageReport(writer, sequence + 1, clock, nowNanos, uses);
    accounts.forEach(account -> account.bind(report));
    return report;
  }

  private void confirm(long nowNanos) {
    UsageReport confirmed = open;
    open = null;
    sequence = confirmed.sequence();
    inherited.forEach(
        (customer, tokens) -> {
          heirs.inherit(customer, tokens, nowNanos);
          events.onInherited(customer, tokens);
        });
    inherited = new LinkedHashMap<>();
    accounts.forEach(account -> account.confirm(confirmed));
    accounts.forEach(account -> account.serveWaiters(nowNanos));
  }

  /** Another instance took the offset, so the report is made anew at once. */
  private void discardOpen() {
    open = null;
    lastNanos = Long.MIN_VALUE / 2;
    accounts.forEach(CustomerAccount::unbind);
  }

  private void pause(long nowNanos) {
    busy = false;
    pausedUntilNanos = nowNanos + PAUSE_NANOS;
  }
}
