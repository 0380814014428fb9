package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * An in-memory ledger that executes calls and delivers their outcomes in a random order determined
 * by a seed. Responses may be lost, and writes may fail or take effect late.
 */
final class ScheduledLedgerStore {
  private final Random random;
  private final boolean checksOffset;
  private final Map<Integer, List<LedgerRecord>> partitions = new LinkedHashMap<>();
  private final List<Runnable> pending = new ArrayList<>();
  private final Map<String, UsageReport> reports = new LinkedHashMap<>();
  private long reportsEnd;
  private boolean outage;
  private boolean hidesUsageAllowance;

  ScheduledLedgerStore(Random random, boolean checksOffset) {
    this.random = random;
    this.checksOffset = checksOffset;
  }

  /**
   * Hides the usage allowance of reports from readers, as if writers used nothing after a report.
   */
  void hideUsageAllowance() {
    hidesUsageAllowance = true;
  }

  private static UsageReport withoutUsageAllowance(UsageReport report) {
    return new UsageReport(
        report.writer(),
        report.sequence(),
        report.clock(),
        report.nanos(),
        report.usages().stream()
            .map(
                usage ->
                    new UsageReport.CustomerUsage(
                        usage.customer(), usage.grantedTokens(), usage.usedTokens(), 0, 0, 0))
            .toList());
  }

  void setOutage(boolean active) {
    outage = active;
  }

  /** Executes one randomly chosen pending step, if there is one. */
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

  /** Returns a view of the ledger for one process, which receives no outcomes once it is killed. */
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
            respond(() -> listener.onPage(page), listener::onFailed);
          });
    }

    @Override
    public void read(int partition, long from, PageListener listener) {
      pending.add(
          () -> {
            List<LedgerRecord> records = records(partition);
            LedgerPage page =
                new LedgerPage(records.subList((int) from, records.size()), records.size());
            respond(() -> listener.onPage(page), listener::onFailed);
          });
    }

    @Override
    public void append(int partition, long at, List<LedgerRecord> added, AppendListener listener) {
      pending.add(
          () -> {
            if (outage) {
              respond(listener::onUnknown, listener::onUnknown);
              return;
            }
            if (random.nextInt(10) == 0) {
              pending.add(() -> write(partition, at, added));
              respond(listener::onUnknown, listener::onUnknown);
              return;
            }
            boolean written = write(partition, at, added);
            respond(written ? listener::onAppended : listener::onConflict, listener::onUnknown);
          });
    }

    /** Returns access to the usage reports of one instance. */
    UsageStore usage(String instance) {
      return new UsageStore() {
        @Override
        public void newest(NewestListener listener) {
          pending.add(
              () -> {
                Optional<UsageReport> report = Optional.ofNullable(reports.get(instance));
                Optional<UsageReport> visible =
                    hidesUsageAllowance
                        ? report.map(ScheduledLedgerStore::withoutUsageAllowance)
                        : report;
                long end = reportsEnd;
                respond(() -> listener.onReport(visible, end), listener::onFailed);
              });
        }

        @Override
        public void append(long at, UsageReport report, AppendListener listener) {
          pending.add(
              () -> {
                boolean delayed = random.nextInt(10) == 0;
                if (outage || delayed) {
                  if (delayed) {
                    pending.add(() -> writeReport(instance, at, report));
                  }
                  respond(listener::onUnknown, listener::onUnknown);
                  return;
                }
                boolean written = writeReport(instance, at, report);
                respond(written ? listener::onAppended : listener::onConflict, listener::onUnknown);
              });
        }
      };
    }

    private boolean writeReport(String instance, long at, UsageReport report) {
      if (reportsEnd != at) {
        return false;
      }
      reports.put(instance, report);
      reportsEnd++;
      return true;
    }

    private boolean write(int partition, long at, List<LedgerRecord> added) {
      List<LedgerRecord> records = records(partition);
      if (checksOffset && records.size() != at) {
        return false;
      }
      records.addAll(added);
      return true;
    }

    private void respond(Runnable onResponse, Runnable onLost) {
      Runnable outcome = outage || random.nextInt(6) == 0 ? onLost : onResponse;
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
