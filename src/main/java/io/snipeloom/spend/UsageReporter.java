package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Writes usage reports, and inherits the tokens that the previous incarnation left unused.
 *
 * <p>After the store has come back from an older copy of itself, nothing is inherited from a report
 * of before, because a later one may be lost; a live instance reports anew at once.
 *
 * <p>The first report replaces the last report of the previous incarnation, so unused tokens are
 * inherited only once, even if this incarnation dies immediately afterwards. A report whose outcome
 * is unknown is retried unchanged at the same offset. Not thread-safe.
 */
final class UsageReporter {
  /**
   * The time between reports. When the instance is killed, the tokens that its last report allowed
   * it to use since then are lost.
   */
  private static final long REPORT_INTERVAL_NANOS = 250_000_000L;

  /** The shortest time between reports when one is requested early. */
  private static final long URGENT_REPORT_INTERVAL_NANOS = 20_000_000L;

  private static final long RETRY_DELAY_NANOS = 150_000_000L;

  /**
   * How long the first report waits for the clocks of other instances, which start at the same time
   * after a loss of power.
   */
  private static final long CLOCKS_TIMEOUT_NANOS = 4_000_000_000L;

  /** How long instances that start at the same time may take to inherit, with a margin. */
  private static final long RECOVERY_NANOS = 6_000_000_000L;

  private final String writer;
  private final MachineClock clock;
  private final String machine;
  private final FleetClock fleetClock;
  private final long startNanos;
  private final UsageStore store;
  private final SpendEvents events;
  private final Collection<CustomerAccount> accounts;
  private final InheritanceListener inheritanceListener;
  private boolean loaded;
  private boolean callInProgress;
  private boolean urgent;
  private long end;
  private long era;
  private long sequence;
  private long pausedUntilNanos = Long.MIN_VALUE / 2;
  private long lastReportNanos = Long.MIN_VALUE / 2;
  private UsageReport pendingReport;

  /** The last report of the previous incarnation while it is not known how old it is. */
  private UsageReport predecessor;

  private Map<CustomerId, Long> inherited = new LinkedHashMap<>();
  private Map<CustomerId, Long> stranded = new LinkedHashMap<>();

  /** Receives the tokens that are inherited from the previous incarnation. */
  interface InheritanceListener {

    /** Grants inherited tokens to a customer, whose prepaid total may not be known yet. */
    void onInherited(CustomerId customer, long tokens, long nowNanos);
  }

  UsageReporter(
      String writer,
      MachineClock clock,
      String machine,
      FleetClock fleetClock,
      long startNanos,
      UsageStore store,
      SpendEvents events,
      Collection<CustomerAccount> accounts,
      InheritanceListener inheritanceListener) {
    this.writer = writer;
    this.clock = clock;
    this.machine = machine;
    this.fleetClock = fleetClock;
    this.startNanos = startNanos;
    this.store = store;
    this.events = events;
    this.accounts = accounts;
    this.inheritanceListener = inheritanceListener;
  }

  /** Requests a report as soon as possible. */
  void requestReport() {
    urgent = true;
  }

  /**
   * Returns whether a report of this incarnation is known to be written. Before that nothing tells
   * a later incarnation of tokens that this one claims, and more may be inherited.
   */
  boolean isReporting() {
    return sequence > 0;
  }

  /**
   * Returns whether this instance, and others that started at the same time, may yet inherit
   * tokens, so that a total that is claimed is not known to be exhausted.
   */
  boolean isRecovering(long nowNanos) {
    return !isReporting() || nowNanos - startNanos < RECOVERY_NANOS;
  }

  boolean isSettled() {
    return !callInProgress && pendingReport == null && !urgent;
  }

  /** Starts the next call if one is due and none is in progress. */
  void startCallIfDue(long nowNanos) {
    if (callInProgress || nowNanos - pausedUntilNanos < 0) {
      return;
    }
    if (loaded && store.era() != era) {
      onStoreReverted();
    }
    if (!loaded) {
      readNewest(nowNanos);
      return;
    }
    if (predecessor != null && !determineInheritance(nowNanos)) {
      return;
    }
    long interval = urgent ? URGENT_REPORT_INTERVAL_NANOS : REPORT_INTERVAL_NANOS;
    if (pendingReport == null && nowNanos - lastReportNanos >= interval) {
      pendingReport = createReport(nowNanos);
    }
    if (pendingReport != null) {
      append(nowNanos);
    }
  }

  private void onStoreReverted() {
    loaded = false;
    urgent = true;
    if (pendingReport != null) {
      discardPendingReport();
    }
  }

  private void readNewest(long nowNanos) {
    callInProgress = true;
    store.newest(
        new UsageStore.NewestListener() {
          @Override
          public void onReport(Optional<UsageReport> report, long newEnd) {
            callInProgress = false;
            onNewest(report, newEnd, nowNanos);
          }

          @Override
          public void onFailed() {
            retryLater(nowNanos);
          }
        });
  }

  private void onNewest(Optional<UsageReport> report, long newEnd, long nowNanos) {
    end = newEnd;
    era = store.era();
    loaded = true;
    boolean own = report.map(found -> found.writer().equals(writer)).orElse(false);
    if (pendingReport != null && own && report.get().sequence() == pendingReport.sequence()) {
      confirm(nowNanos);
    } else if (pendingReport != null) {
      discardPendingReport();
    }
    if (sequence == 0 && !own) {
      predecessor = report.orElse(null);
      inherited = new LinkedHashMap<>();
      stranded = new LinkedHashMap<>();
    }
    startCallIfDue(nowNanos);
  }

  /**
   * Determines what the previous incarnation certainly left unused. It had ended when this one
   * started, so its usage is bounded by its report and the time from then to the start.
   *
   * @return false if the time is not known yet and may be known soon
   */
  private boolean determineInheritance(long nowNanos) {
    boolean sameClock =
        predecessor.clock().isSame(clock)
            && startNanos >= predecessor.nanos()
            && MachineClock.isOld(startNanos);
    if (sameClock) {
      inherit(clock.maxElapsedNanos(predecessor.clock(), predecessor.nanos(), startNanos), true);
      return true;
    }
    boolean sameMachine = !machine.isEmpty() && machine.equals(predecessor.machine());
    List<ClockReading> readings = sameMachine ? predecessor.readings() : List.of();
    boolean waits = nowNanos - startNanos < CLOCKS_TIMEOUT_NANOS;
    if (waits && readings.size() >= FleetClock.MIN_CLOCKS && !areMostKnown(readings)) {
      return false;
    }
    fleetClock
        .maxElapsedNanos(readings, startNanos)
        .ifPresentOrElse(elapsedNanos -> inherit(elapsedNanos, false), this::inheritNothing);
    return true;
  }

  private boolean areMostKnown(List<ClockReading> readings) {
    int known = fleetClock.known(readings);
    return known >= FleetClock.MIN_CLOCKS && known * 2 > readings.size();
  }

  private void inheritNothing() {
    events.onPredecessor(predecessor.writer(), 0, SpendEvents.ElapsedBy.UNKNOWN);
    predecessor.usages().forEach(usage -> inherit(usage, 0));
    predecessor = null;
  }

  private void inherit(long elapsedNanos, boolean sameClock) {
    events.onPredecessor(
        predecessor.writer(),
        elapsedNanos,
        sameClock ? SpendEvents.ElapsedBy.MONOTONIC_CLOCK : SpendEvents.ElapsedBy.FLEET_CLOCK);
    boolean last = predecessor.era() == era;
    predecessor.usages().forEach(usage -> inherit(usage, last ? usage.unused(elapsedNanos) : 0));
    predecessor = null;
  }

  private void inherit(UsageReport.CustomerUsage usage, long tokens) {
    if (tokens > 0) {
      inherited.put(usage.customer(), tokens);
    }
    stranded.put(usage.customer(), usage.grantedTokens() - usage.usedTokens() - tokens);
  }

  private void append(long nowNanos) {
    callInProgress = true;
    store.append(
        end,
        pendingReport,
        new LedgerStore.AppendListener() {
          @Override
          public void onAppended() {
            callInProgress = false;
            end++;
            confirm(nowNanos);
          }

          @Override
          public void onConflict() {
            callInProgress = false;
            loaded = false;
            startCallIfDue(nowNanos);
          }

          @Override
          public void onUnknown() {
            retryLater(nowNanos);
          }
        });
  }

  private UsageReport createReport(long nowNanos) {
    List<UsageReport.CustomerUsage> usages = new ArrayList<>();
    for (CustomerAccount account : accounts) {
      UsageReport.CustomerUsage usage =
          account.usage(nowNanos, inherited.getOrDefault(account.customer(), 0L));
      if (usage.grantedTokens() > 0) {
        usages.add(usage);
      }
    }
    inherited.forEach(
        (customer, tokens) -> {
          if (usages.stream().noneMatch(usage -> usage.customer().equals(customer))) {
            usages.add(new UsageReport.CustomerUsage(customer, tokens, 0, 0, 0, 0));
          }
        });
    urgent = false;
    lastReportNanos = nowNanos;
    UsageReport report =
        new UsageReport(
            writer,
            sequence + 1,
            clock,
            nowNanos,
            era,
            machine,
            fleetClock.reachedAt(nowNanos),
            usages);
    accounts.forEach(account -> account.onReportPending(report));
    return report;
  }

  private void confirm(long nowNanos) {
    UsageReport confirmed = pendingReport;
    pendingReport = null;
    sequence = confirmed.sequence();
    inherited.forEach(
        (customer, tokens) -> inheritanceListener.onInherited(customer, tokens, nowNanos));
    stranded.forEach(
        (customer, tokens) ->
            events.onInherited(customer, inherited.getOrDefault(customer, 0L), tokens));
    inherited = new LinkedHashMap<>();
    stranded = new LinkedHashMap<>();
    accounts.forEach(account -> account.onReportConfirmed(confirmed));
    accounts.forEach(account -> account.serveWaiters(nowNanos));
  }

  /** Discards a report after a conflict at its offset and makes a new report due immediately. */
  private void discardPendingReport() {
    pendingReport = null;
    lastReportNanos = Long.MIN_VALUE / 2;
    accounts.forEach(CustomerAccount::onReportDiscarded);
  }

  private void retryLater(long nowNanos) {
    callInProgress = false;
    pausedUntilNanos = nowNanos + RETRY_DELAY_NANOS;
  }
}
