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

  /** Totals older than this are read again before a request is refused for them. */
  private static final long FRESH_NANOS = 250_000_000L;

  private final int number;
  private final String writer;
  private final LedgerStore store;
  private final SpendEvents events;
  private final Runnable hurryReport;
  private final Map<CustomerId, CustomerAccount> accounts = new LinkedHashMap<>();
  private final Map<CustomerId, Long> totals = new HashMap<>();
  private ClaimPolicy policy;
  private boolean known;
  private long end;
  private long freshNanos;
  private long pausedUntilNanos = Long.MIN_VALUE / 2;
  private boolean busy;
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
      Runnable hurryReport) {
    this.hurryReport = hurryReport;
    this.number = number;
    this.writer = writer;
    this.store = store;
    this.policy = policy;
    this.events = events;
  }

  void add(CustomerAccount account) {
    accounts.put(account.customer(), account);
  }

  void use(ClaimPolicy newPolicy) {
    policy = newPolicy;
  }

  SpendStanding standing(CustomerAccount account, long nowNanos) {
    return new SpendStanding(
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

  /** Starts the next call, if one is due and none is under way. */
  void pump(long nowNanos) {
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
    busy = true;
    store.list(
        number,
        new LedgerStore.PageListener() {
          @Override
          public void onPage(LedgerPage page) {
            busy = false;
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
    busy = true;
    Batch batch = open;
    store.append(
        number,
        batch.at(),
        batch.records(),
        new LedgerStore.AppendListener() {
          @Override
          public void onAppended() {
            busy = false;
            open = null;
            end = batch.at() + batch.records().size();
            freshNanos = nowNanos;
            batch.records().forEach(record -> apply(record, nowNanos));
            grant(batch, nowNanos);
            pump(nowNanos);
          }

          @Override
          public void onConflict() {
            busy = false;
            read(nowNanos);
          }

          @Override
          public void onUnknown() {
            pause(nowNanos);
          }
        });
  }

  private void read(long nowNanos) {
    busy = true;
    store.read(
        number,
        end,
        new LedgerStore.PageListener() {
          @Override
          public void onPage(LedgerPage page) {
            busy = false;
            freshNanos = nowNanos;
            onRecords(page, nowNanos);
          }

          @Override
          public void onExpired() {
            busy = false;
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
        grant(batch, nowNanos);
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

  private void grant(Batch batch, long nowNanos) {
    batch
        .changes()
        .forEach(
            (customer, tokens) -> {
              if (tokens > 0) {
                CustomerAccount account = accounts.get(customer);
                account.grant(tokens);
                hurryReport.run();
                events.onGranted(customer, tokens, total(customer), account.limit());
                account.serveWaiters(nowNanos);
              }
            });
  }

  private void forgetOpen() {
    if (open != null) {
      open.changes().forEach(events::onClaimLost);
      open = null;
    }
  }

  private void pause(long nowNanos) {
    busy = false;
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
    long unneeded =
        account.hasWaiters() ? 0 : policy.surplus(account.available(), target, account.limit());
    long returnable = Math.max(account.takeReturn(), unneeded);
    if (returnable > 0) {
      account.setAside(returnable);
    }
    if (account.setAside() > 0 || account.waitsForReport(nowNanos)) {
      hurryReport.run();
    }
    long returned = account.takeSetAside(nowNanos);
    if (returned > 0) {
      events.onReturned(account.customer(), returned);
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
      if (account.missing() > unclaimed(account)) {
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
