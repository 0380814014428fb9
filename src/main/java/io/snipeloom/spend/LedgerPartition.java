package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Claims from and returns to one partition of the ledger, one write at a time.
 *
 * <p>A write whose outcome is unknown is repeated unchanged at the same offset until the store says
 * what became of it: either it is there, or something else took its offset and it never will be.
 * Not thread-safe.
 */
final class LedgerPartition {
  /** The pause after a call without an answer, so that an outage is not made worse. */
  private static final long PAUSE_NANOS = 150_000_000L;

  /** A call that takes longer than this may never be answered; many times the usual answer. */
  private static final long SLOW_CALL_NANOS = 120_000_000L;

  /** Totals older than this are read again before a request is refused for them. */
  private static final long FRESH_NANOS = 250_000_000L;

  private final int number;
  private final String writer;
  private final LedgerStore store;
  private final SpendEvents events;
  private final UsageJournal journal;
  private final Map<CustomerId, CustomerAccount> accounts = new LinkedHashMap<>();
  private final Map<CustomerId, Long> totals = new HashMap<>();
  private ClaimPolicy policy;
  private boolean known;
  private long end;
  private long freshNanos;
  private long pausedUntilNanos = Long.MIN_VALUE / 2;
  private boolean busy;
  private boolean failing;
  private long calledNanos;
  private long latestNanos = Long.MIN_VALUE / 2;
  private Batch open;
  private long sequence;

  /** A write whose outcome is not known yet. */
  private record Batch(long at, List<LedgerRecord> records, Map<CustomerId, Long> changes) {}

  LedgerPartition(
      int number,
      String writer,
      LedgerStore store,
      ClaimPolicy policy,
      SpendEvents events,
      UsageJournal journal) {
    this.journal = journal;
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
        account.room(nowNanos),
        total(account.customer()),
        account.limit(),
        known ? TimeUnit.NANOSECONDS.toMillis(nowNanos - freshNanos) : -1);
  }

  /** Returns whether a write is under way or its outcome is unknown. */
  boolean isSettled() {
    return !busy
        && open == null
        && accounts.values().stream().allMatch(account -> account.setAside() == 0);
  }

  /** Returns whether the ledger does not answer, so that nothing can be claimed now. */
  boolean isStalled(long nowNanos) {
    boolean slow = busy && nowNanos - calledNanos > SLOW_CALL_NANOS;
    return slow || failing;
  }

  /** Returns what the first request that waits lacks if it needs more than can be claimed. */
  long shortage(CustomerAccount account) {
    return known && account.missing() > unclaimed(account) ? account.missing() : 0;
  }

  /** Returns whether a number of tokens can be claimed now, as far as is known. */
  boolean canClaim(CustomerAccount account, long tokens, long nowNanos) {
    return known && !isStalled(nowNanos) && tokens <= unclaimed(account);
  }

  /** Starts the next call, if one is due and none is under way. */
  void pump(long nowNanos) {
    latestNanos = Math.max(latestNanos, nowNanos);
    if (busy || nowNanos - pausedUntilNanos < 0) {
      return;
    }
    if (!known) {
      list(nowNanos);
      return;
    }
    if (open == null) {
      open = nextBatch(nowNanos);
    }
    if (open != null) {
      append(nowNanos);
      return;
    }
    if (!busy) {
      decideWaiters(nowNanos);
    }
  }

  private void list(long nowNanos) {
    startCall();
    store.list(
        number,
        new LedgerStore.PageListener() {
          @Override
          public void onPage(LedgerPage page) {
            answered();
            known = true;
            end = page.end();
            freshNanos = nowNanos;
            page.records().forEach(record -> apply(record, nowNanos));
            pump(nowNanos);
          }

          @Override
          public void onExpired() {
            pause(nowNanos);
          }

          @Override
          public void onFailed() {
            pause(nowNanos);
          }
        });
  }

  private void append(long nowNanos) {
    startCall();
    Batch batch = open;
    store.append(
        number,
        batch.at(),
        batch.records(),
        new LedgerStore.AppendListener() {
          @Override
          public void onAppended() {
            answered();
            open = null;
            end = batch.at() + batch.records().size();
            freshNanos = nowNanos;
            batch.records().forEach(record -> apply(record, nowNanos));
            onCarriedOut(batch, nowNanos);
            pump(nowNanos);
          }

          @Override
          public void onConflict() {
            answered();
            read(nowNanos);
          }

          @Override
          public void onUnknown() {
            pause(nowNanos);
          }
        });
  }

  private void read(long nowNanos) {
    startCall();
    store.read(
        number,
        end,
        new LedgerStore.PageListener() {
          @Override
          public void onPage(LedgerPage page) {
            answered();
            freshNanos = nowNanos;
            onRecords(page, nowNanos);
          }

          @Override
          public void onExpired() {
            answered();
            known = false;
            forgetOpen();
            pump(nowNanos);
          }

          @Override
          public void onFailed() {
            pause(nowNanos);
          }
        });
  }

  private void onRecords(LedgerPage page, long nowNanos) {
    Batch batch = open;
    page.records().forEach(record -> apply(record, nowNanos));
    end += page.records().size();
    if (batch != null && end > batch.at()) {
      open = null;
      if (page.records().stream().anyMatch(record -> isOf(record, batch))) {
        onCarriedOut(batch, nowNanos);
      } else {
        keepReturns(batch);
      }
    }
    if (end < page.end()) {
      read(nowNanos);
      return;
    }
    pump(nowNanos);
  }

  private boolean isOf(LedgerRecord record, Batch batch) {
    return record.writer().equals(writer) && record.sequence() == batch.records().get(0).sequence();
  }

  private void apply(LedgerRecord record, long nowNanos) {
    Long before = totals.put(record.customer(), record.claimedTokens());
    CustomerAccount account = accounts.get(record.customer());
    if (before != null && account != null) {
      boolean own = record.writer().equals(writer);
      account.onClaimed(record.claimedTokens() - before, own, nowNanos);
    }
  }

  /** Takes note that a write was carried out. */
  private void onCarriedOut(Batch batch, long nowNanos) {
    batch
        .changes()
        .forEach(
            (customer, tokens) -> {
              if (tokens > 0) {
                CustomerAccount account = accounts.get(customer);
                account.grant(tokens, nowNanos);
                journal.hurry();
                events.onGranted(customer, tokens, total(customer), account.limit());
                account.serveWaiters(nowNanos);
              } else {
                events.onReturned(customer, -tokens);
              }
            });
    if (accounts.values().stream().anyMatch(account -> account.waitsForReport(nowNanos))) {
      journal.pump(nowNanos);
    }
  }

  /** Takes back the returns of a write that certainly was not and never will be carried out. */
  private void keepReturns(Batch batch) {
    batch
        .changes()
        .forEach(
            (customer, tokens) -> {
              if (tokens < 0) {
                accounts.get(customer).returnFailed(-tokens);
              }
            });
  }

  private void forgetOpen() {
    if (open != null) {
      open.changes().forEach(events::onClaimLost);
      open = null;
    }
  }

  /** Answers carry on with the time of their call, so the latest time that was heard of counts. */
  private void startCall() {
    busy = true;
    calledNanos = latestNanos;
  }

  private void answered() {
    busy = false;
    failing = false;
  }

  private void pause(long nowNanos) {
    busy = false;
    failing = true;
    pausedUntilNanos = nowNanos + PAUSE_NANOS;
  }

  private Batch nextBatch(long nowNanos) {
    List<LedgerRecord> records = new ArrayList<>();
    Map<CustomerId, Long> changes = new LinkedHashMap<>();
    long first = sequence + 1;
    for (CustomerAccount account : accounts.values()) {
      long change = change(account, nowNanos);
      if (change != 0) {
        long total = total(account.customer()) + change;
        records.add(new LedgerRecord(account.customer(), total, writer, ++sequence));
        changes.put(account.customer(), change);
      }
    }
    return sequence < first ? null : new Batch(end, records, changes);
  }

  /** Returns the tokens to claim, negative to return tokens, 0 to leave it. */
  private long change(CustomerAccount account, long nowNanos) {
    long unclaimed = unclaimed(account);
    long target =
        policy.target(
            account.tokensPerSecond(nowNanos),
            account.useShare(nowNanos),
            unclaimed,
            account.available(),
            account.limit());
    boolean tellsSurplus = account.isUseKnown(nowNanos) && !account.hasWaiters();
    long surplus = tellsSurplus ? policy.surplus(account.available(), target, account.limit()) : 0;
    long returnable = Math.max(account.takeReturn(), surplus);
    if (returnable > 0) {
      account.setAside(returnable);
    }
    if (account.setAside() > 0 || account.waitsForReport(nowNanos)) {
      journal.hurry();
    }
    long returned = account.takeSetAside(nowNanos);
    if (returned > 0) {
      return -returned;
    }
    long ahead = policy.isLow(account.available(), target) ? target - account.available() : 0;
    long missing = account.missing();
    if (missing > unclaimed) {
      return 0;
    }
    return Math.min(unclaimed, Math.max(missing, ahead));
  }

  private void decideWaiters(long nowNanos) {
    for (CustomerAccount account : accounts.values()) {
      account.serveWaiters(nowNanos);
      if (!account.hasWaiters()) {
        continue;
      }
      if (nowNanos - freshNanos > FRESH_NANOS) {
        read(nowNanos);
        return;
      }
      if (account.missing() > unclaimed(account) && !account.isBorrowing()) {
        account.refuseFirst(ReserveOutcome.EXHAUSTED);
        account.wantReturn();
      }
    }
  }

  private long unclaimed(CustomerAccount account) {
    return Math.max(0, account.limit() - total(account.customer()));
  }

  private long total(CustomerId customer) {
    return totals.getOrDefault(customer, 0L);
  }
}
