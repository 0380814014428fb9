package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A ledger in memory whose calls are carried out and answered in an order drawn from a seed;
 * answers get lost, writes are refused or carried out late.
 */
final class ScheduledLedgerStore {
  private final Random random;
  private final boolean checksOffset;
  private final Map<Integer, List<LedgerRecord>> partitions = new LinkedHashMap<>();
  private final List<Runnable> pending = new ArrayList<>();
  private boolean down;

  ScheduledLedgerStore(Random random, boolean checksOffset) {
    this.random = random;
    this.checksOffset = checksOffset;
  }

  void down(boolean isDown) {
    down = isDown;
  }

  /** Carries out one pending step, if there is one. */
  void step() {
    if (!pending.isEmpty()) {
      pending.remove(random.nextInt(pending.size())).run();
    }
  }

  long claimed(CustomerId customer) {
    long claimed = 0;
    for (List<LedgerRecord> records : partitions.values()) {
      for (LedgerRecord record : records) {
        if (record.customer().equals(customer)) {
          claimed = record.claimedTokens();
        }
      }
    }
    return claimed;
  }

  /** Returns a view of the ledger for one process, which gets no more answers once it is dead. */
  View view() {
    return new View();
  }

  final class View implements LedgerStore {
    private boolean dead;

    void kill() {
      dead = true;
    }

    @Override
    public void list(int partition, PageListener listener) {
      pending.add(
          () -> {
            List<LedgerRecord> records = records(partition);
            LedgerPage page = new LedgerPage(records, records.size());
            answer(() -> listener.onPage(page), listener::onFailed);
          });
    }

    @Override
    public void read(int partition, long from, PageListener listener) {
      pending.add(
          () -> {
            List<LedgerRecord> records = records(partition);
            LedgerPage page =
                new LedgerPage(records.subList((int) from, records.size()), records.size());
            answer(() -> listener.onPage(page), listener::onFailed);
          });
    }

    @Override
    public void append(int partition, long at, List<LedgerRecord> added, AppendListener listener) {
      pending.add(
          () -> {
            if (down) {
              answer(listener::onUnknown, listener::onUnknown);
              return;
            }
            if (random.nextInt(10) == 0) {
              pending.add(() -> write(partition, at, added));
              answer(listener::onUnknown, listener::onUnknown);
              return;
            }
            boolean done = write(partition, at, added);
            answer(done ? listener::onAppended : listener::onConflict, listener::onUnknown);
          });
    }

    private boolean write(int partition, long at, List<LedgerRecord> added) {
      List<LedgerRecord> records = records(partition);
      if (checksOffset && records.size() != at) {
        return false;
      }
      records.addAll(added);
      return true;
    }

    private void answer(Runnable answered, Runnable lost) {
      Runnable outcome = down || random.nextInt(6) == 0 ? lost : answered;
      pending.add(
          () -> {
            if (!dead) {
              outcome.run();
            }
          });
    }
  }

  private List<LedgerRecord> records(int partition) {
    return partitions.computeIfAbsent(partition, number -> new ArrayList<>());
  }
}
