package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Claims tokens from one partition of the ledger and returns tokens to it, one write at a time.
 *
 * <p>A write whose outcome is unknown is retried unchanged at the same offset until its outcome is
 * known: either its records are in the ledger, or other records occupy the offset and the write can
 * no longer succeed. When the store has come back from an older copy of itself, the outcome of a
 * write cannot be known any more, so nothing is granted by it. Not thread-safe.
 */
final class LedgerPartition {
  /** Claimed totals older than this are read again before a request is refused because of them. */
  private static final long MAX_CLAIMED_TOTALS_AGE_NANOS = 250_000_000L;

  private final int number;
  private final String writer;
  private final LedgerStore store;
  private final SpendEvents events;
  private final UsageReporter usageReporter;
  private final ClaimInquiry inquiry;
  private final ClaimPeers peers;
  private final MachineClock clock;
  private final Map<CustomerId, CustomerAccount> accounts = new LinkedHashMap<>();
  private final ClaimedTotals totals = new ClaimedTotals();
  private final ClaimRecords claimRecords;
  private final LedgerCalls calls = new LedgerCalls();
  private ClaimPolicy policy;
  private boolean loaded;
  private boolean listed;
  private long end;
  private long era;
  private long claimedTotalsConfirmedNanos;

  /** Whether more is to be returned than the totals show as claimed; it was borrowed since. */
  private boolean outdated;

  private Batch pendingBatch;

  /**
   * A write whose outcome is not known yet.
   *
   * @param at the offset of the first record
   * @param changes the change of the claimed total of each customer, negative for a return
   */
  private record Batch(long at, List<LedgerRecord> records, Map<CustomerId, Long> changes) {}

  LedgerPartition(
      int number,
      String writer,
      LedgerStore store,
      ClaimPolicy policy,
      SpendEvents events,
      UsageReporter usageReporter,
      ClaimInquiry inquiry,
      ClaimPeers peers,
      MachineClock clock) {
    this.usageReporter = usageReporter;
    this.inquiry = inquiry;
    this.peers = peers;
    this.clock = clock;
    this.claimRecords = new ClaimRecords(writer, totals);
    this.number = number;
    this.writer = writer;
    this.store = store;
    this.policy = policy;
    this.events = events;
  }

  void add(CustomerAccount account) {
    accounts.put(account.customer(), account);
  }

  void changePolicy(ClaimPolicy newPolicy) {
    policy = newPolicy;
  }

  SpendStatus status(CustomerAccount account, long nowNanos) {
    return new SpendStatus(
        account.available(),
        account.allowance(nowNanos),
        account.reserved(),
        account.spent(),
        totals.of(account.customer()),
        account.limit(),
        loaded ? TimeUnit.NANOSECONDS.toMillis(nowNanos - claimedTotalsConfirmedNanos) : -1);
  }

  /**
   * Returns whether no call is in progress, no write has an unknown outcome and no tokens are
   * pending return.
   */
  boolean isSettled() {
    return !calls.isInProgress()
        && pendingBatch == null
        && accounts.values().stream().allMatch(account -> account.pendingReturn() == 0);
  }

  /** Returns whether the last call failed, as it does while the store does not answer. */
  boolean isAway() {
    return calls.hasFailed();
  }

  /**
   * Returns whether nothing can be claimed now, because the current call is slow, the last call
   * failed, or the totals are being corrected.
   */
  boolean isStalled(long nowNanos) {
    return calls.isSlow(nowNanos) || calls.hasFailed() || inquiry.isOpen();
  }

  /**
   * Returns the missing tokens of the first waiting request if they exceed what can be claimed,
   * else 0. Also returns 0 before the claimed totals have been read.
   */
  long shortage(CustomerAccount account) {
    return loaded && account.missingTokens() > unclaimed(account) ? account.missingTokens() : 0;
  }

  /**
   * Returns whether the given number of tokens can be claimed now, according to the claimed totals
   * as last read.
   */
  boolean canClaim(CustomerAccount account, long tokens, long nowNanos) {
    return loaded && !isStalled(nowNanos) && tokens <= unclaimed(account);
  }

  /** Starts the next call if one is due and none is in progress. */
  void startCallIfDue(long nowNanos) {
    if (!calls.mayStart(nowNanos)) {
      return;
    }
    if (listed && store.era() != era) {
      onStoreReverted(nowNanos);
    }
    if (!loaded) {
      list(nowNanos);
      return;
    }
    if (pendingBatch == null) {
      pendingBatch = nextBatch(nowNanos);
    }
    if (pendingBatch != null) {
      append(nowNanos);
      return;
    }
    if (outdated) {
      read(nowNanos);
      return;
    }
    if (!calls.isInProgress()) {
      calls.onIdle();
      serveOrRefuseWaiters(nowNanos);
    }
  }

  private void onStoreReverted(long nowNanos) {
    era = store.era();
    loaded = false;
    discardPendingBatch();
    totals.onReverted(millis(nowNanos));
    inquiry.onReverted(era, nowNanos);
  }

  /** Returns the time of day, in Unix milliseconds. */
  private long millis(long nowNanos) {
    return clock.wallOffsetMillis() + TimeUnit.NANOSECONDS.toMillis(nowNanos);
  }

  /** Returns the parts of the claimed totals that changed lately. */
  List<CustomerPart> recentParts(long nowNanos) {
    return totals.recentParts(millis(nowNanos));
  }

  /** Records a part of a claimed total that another instance tells in an answer. */
  void onAnswer(CustomerPart told, long nowNanos) {
    if (totals.onAnswer(told, millis(nowNanos))) {
      tellRestored(told.customer());
    }
  }

  /** Records a part of a claimed total that another instance tells because it has changed. */
  void onNotice(CustomerPart told, long nowNanos) {
    if (totals.onNotice(told, millis(nowNanos))) {
      tellRestored(told.customer());
    }
  }

  private void list(long nowNanos) {
    calls.onStart();
    store.list(
        number,
        new LedgerStore.PageListener() {
          @Override
          public void onPage(LedgerPage page) {
            calls.onResponse();
            loaded = true;
            end = page.end();
            era = store.era();
            if (!listed) {
              listed = true;
              inquiry.onStarted(era, nowNanos);
            }
            claimedTotalsConfirmedNanos = nowNanos;
            totals.onListed(page.records(), millis(nowNanos));
            totals.understated().forEach(LedgerPartition.this::tellRestored);
            startCallIfDue(nowNanos);
          }

          @Override
          public void onExpired() {
            calls.onFailed(nowNanos);
          }

          @Override
          public void onFailed() {
            calls.onFailed(nowNanos);
          }
        });
  }

  private void append(long nowNanos) {
    calls.onStart();
    Batch batch = pendingBatch;
    store.append(
        number,
        batch.at(),
        batch.records(),
        new LedgerStore.AppendListener() {
          @Override
          public void onAppended() {
            calls.onAppended();
            pendingBatch = null;
            end = batch.at() + batch.records().size();
            claimedTotalsConfirmedNanos = nowNanos;
            batch.records().forEach(record -> apply(record, nowNanos));
            onBatchWritten(batch, nowNanos);
            startCallIfDue(nowNanos);
          }

          @Override
          public void onConflict() {
            calls.onConflict();
            events.onConflict(batch.changes().keySet(), calls.conflicts());
            read(nowNanos);
          }

          @Override
          public void onUnknown() {
            calls.onFailed(nowNanos);
          }
        });
  }

  private void read(long nowNanos) {
    outdated = false;
    calls.onStart();
    store.read(
        number,
        end,
        new LedgerStore.PageListener() {
          @Override
          public void onPage(LedgerPage page) {
            calls.onResponse();
            claimedTotalsConfirmedNanos = nowNanos;
            onRecords(page, nowNanos);
          }

          @Override
          public void onExpired() {
            calls.onResponse();
            loaded = false;
            discardPendingBatch();
            startCallIfDue(nowNanos);
          }

          @Override
          public void onFailed() {
            calls.onFailed(nowNanos);
          }
        });
  }

  private void onRecords(LedgerPage page, long nowNanos) {
    Batch batch = pendingBatch;
    page.records().forEach(record -> apply(record, nowNanos));
    end += page.records().size();
    if (batch != null && end > batch.at()) {
      pendingBatch = null;
      if (page.records().stream().anyMatch(record -> belongsTo(record, batch))) {
        onBatchWritten(batch, nowNanos);
      } else {
        restoreReturns(batch);
      }
    }
    if (end < page.end()) {
      read(nowNanos);
      return;
    }
    startCallIfDue(nowNanos);
  }

  private boolean belongsTo(LedgerRecord record, Batch batch) {
    return record.writer().equals(writer) && record.sequence() == batch.records().get(0).sequence();
  }

  private void tellRestored(CustomerId customer) {
    events.onClaimRestored(customer, totals.of(customer));
  }

  private void apply(LedgerRecord record, long nowNanos) {
    CustomerAccount account = accounts.get(record.customer());
    if (totals.isKnown(record.customer()) && account != null) {
      account.onClaimed(record.change(), record.writer().equals(writer), nowNanos);
    }
    totals.onRecord(record, millis(nowNanos));
  }

  /** Grants the claimed tokens of a successful write and reports its returns. */
  private void onBatchWritten(Batch batch, long nowNanos) {
    List<CustomerPart> changed = claimRecords.parts(batch.changes().keySet());
    if (!changed.isEmpty()) {
      peers.tell(changed);
    }
    batch
        .changes()
        .forEach(
            (customer, tokens) -> {
              if (tokens > 0) {
                CustomerAccount account = accounts.get(customer);
                account.grant(tokens, nowNanos);
                usageReporter.requestReport();
                events.onGranted(customer, tokens, totals.of(customer), account.limit());
                account.serveWaiters(nowNanos);
              } else if (tokens < 0) {
                events.onReturned(customer, -tokens);
              }
            });
    if (accounts.values().stream().anyMatch(account -> account.isBlockedByReport(nowNanos))) {
      usageReporter.startCallIfDue(nowNanos);
    }
  }

  /** Makes the returns of a write pending again once the write can no longer succeed. */
  private void restoreReturns(Batch batch) {
    batch
        .changes()
        .forEach(
            (customer, tokens) -> {
              if (tokens < 0) {
                accounts.get(customer).restorePendingReturn(-tokens);
              }
            });
  }

  /** Abandons a write whose outcome can no longer be determined. */
  private void discardPendingBatch() {
    if (pendingBatch != null) {
      pendingBatch.changes().forEach(events::onClaimLost);
      pendingBatch = null;
    }
  }

  private Batch nextBatch(long nowNanos) {
    List<LedgerRecord> records = new ArrayList<>();
    Map<CustomerId, Long> changes = new LinkedHashMap<>();
    for (CustomerId customer : totals.understated()) {
      records.add(claimRecords.record(customer, 0, era, millis(nowNanos)));
      changes.put(customer, 0L);
    }
    for (CustomerAccount account : accounts.values()) {
      CustomerId customer = account.customer();
      boolean held = inquiry.isOpen() || changes.containsKey(customer);
      long change = held ? 0 : plannedChange(account, nowNanos);
      if (change != 0) {
        records.add(claimRecords.record(customer, change, era, millis(nowNanos)));
        changes.put(customer, change);
      }
    }
    return records.isEmpty() ? null : new Batch(end, records, changes);
  }

  /** Returns the tokens to claim, a negative number to return tokens, or 0 for no change. */
  private long plannedChange(CustomerAccount account, long nowNanos) {
    long unclaimed = unclaimed(account);
    long target =
        policy.target(
            account.role(),
            account.tokensPerSecond(nowNanos),
            account.fleetTokensPerSecond(nowNanos),
            account.claimShare(nowNanos),
            unclaimed,
            account.available(),
            account.limit());
    boolean surplusKnown = account.isRateKnown(nowNanos) && !account.hasWaiters();
    long surplus = surplusKnown ? policy.surplus(account.available(), target, account.limit()) : 0;
    long returnable = Math.max(account.takeRequestedReturn(), surplus);
    if (returnable > 0) {
      account.scheduleReturn(returnable);
    }
    if (account.pendingReturn() > 0 || account.isBlockedByReport(nowNanos)) {
      usageReporter.requestReport();
    }
    if (account.pendingReturn() > totals.of(account.customer()) && !totals.isReverted()) {
      outdated = true;
      return 0;
    }
    long returned = account.takePendingReturn(nowNanos);
    if (returned > 0) {
      return -returned;
    }
    long claimAhead =
        usageReporter.isReporting() && policy.isLow(account.available(), target)
            ? target - account.available()
            : 0;
    long missing = account.missingTokens();
    if (missing > unclaimed) {
      return 0;
    }
    return Math.min(unclaimed, Math.max(account.missingTokensOfAll(), claimAhead));
  }

  private void serveOrRefuseWaiters(long nowNanos) {
    for (CustomerAccount account : accounts.values()) {
      account.serveWaiters(nowNanos);
      if (!account.hasWaiters() || inquiry.isOpen()) {
        continue;
      }
      if (nowNanos - claimedTotalsConfirmedNanos > MAX_CLAIMED_TOTALS_AGE_NANOS) {
        read(nowNanos);
        return;
      }
      if (account.missingTokens() > unclaimed(account) && !account.isBorrowing()) {
        boolean othersHold = !account.holdsAll(totals.of(account.customer()));
        boolean exhausted = !(othersHold && usageReporter.isRecovering(nowNanos));
        account.refuseFirst(exhausted ? ReserveOutcome.EXHAUSTED : ReserveOutcome.UNAVAILABLE);
        account.requestReturn();
      }
    }
  }

  private long unclaimed(CustomerAccount account) {
    return Math.max(0, account.limit() - totals.of(account.customer()));
  }
}
