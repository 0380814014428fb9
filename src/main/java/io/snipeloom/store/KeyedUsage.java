package io.snipeloom.store;

import io.snipeloom.spend.LedgerStore;
import io.snipeloom.spend.UsageReport;
import io.snipeloom.spend.UsageStore;
import io.snipeloom.state.SnipeloomException;
import java.util.List;
import java.util.Optional;

/** Stores usage reports in a keyed topic, with one key per instance. */
public final class KeyedUsage implements UsageStore {
  private final KeyedLog log;
  private final String topic;
  private final String instance;
  private final int partition;

  /**
   * Creates a store for the reports of one instance.
   *
   * @param log the log that contains the topic
   * @param topic the topic, which must hold nothing but usage reports
   * @param instance the name of the instance, used as key
   * @param partitions the number of partitions of the topic
   */
  public KeyedUsage(KeyedLog log, String topic, String instance, int partitions) {
    this.log = log;
    this.topic = topic;
    this.instance = instance;
    this.partition = Math.floorMod(instance.hashCode(), partitions);
  }

  @Override
  public long era() {
    return log.era();
  }

  @Override
  public void newest(NewestListener listener) {
    newest("", Optional.empty(), -1, listener);
  }

  /**
   * Searches the remaining pages for the report. The pages of a listing do not form a snapshot, so
   * the next append must use the end offset of the first page. If records were appended during the
   * listing, that append conflicts.
   *
   * @param firstEnd the end offset of the first page; -1 before it is read
   */
  private void newest(
      String afterKey, Optional<UsageReport> found, long firstEnd, NewestListener listener) {
    log.newest(
        topic,
        partition,
        afterKey,
        (outcome, page) -> {
          if (outcome != StoreOutcome.DONE) {
            listener.onFailed();
            return;
          }
          Optional<UsageReport> report = found.or(() -> reportOf(page));
          long end = firstEnd < 0 ? page.end() : firstEnd;
          if (page.hasMore()) {
            newest(page.lastKey(), report, end, listener);
          } else {
            listener.onReport(report, end);
          }
        });
  }

  /**
   * Returns the report of this instance, if the page contains it. A report that cannot be decoded
   * was written by an incompatible version and is ignored, so that nothing is inherited from it.
   */
  private Optional<UsageReport> reportOf(RecordPage page) {
    for (KeyedRecord record : page.records()) {
      if (record.key().equals(instance)) {
        try {
          return Optional.of(UsageReport.parse(record.value()));
        } catch (SnipeloomException e) {
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }

  @Override
  public void append(long at, UsageReport report, LedgerStore.AppendListener listener) {
    log.append(
        topic,
        partition,
        at,
        List.of(new KeyedRecord(instance, report.toBytes())),
        outcome -> {
          switch (outcome) {
            case DONE -> listener.onAppended();
            case CONFLICT -> listener.onConflict();
            default -> listener.onUnknown();
          }
        });
  }
}
