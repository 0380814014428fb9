package io.snipeloom.store;

import io.snipeloom.spend.LedgerPage;
import io.snipeloom.spend.LedgerRecord;
import io.snipeloom.spend.LedgerStore;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Stores the ledger of prepaid tokens in a keyed topic, with one key per customer. */
public final class KeyedLedger implements LedgerStore {
  /** Takes the place of a customer whose name cannot be read. */
  private static final CustomerId NOBODY = CustomerId.of("unreadable-customer");

  private final KeyedLog log;
  private final String topic;
  private final Consumer<String> onMalformed;

  /**
   * Creates a ledger.
   *
   * @param log the log that contains the topic
   * @param topic the topic, which must hold nothing but the ledger
   * @param onMalformed called with the key of a record that cannot be decoded
   */
  public KeyedLedger(KeyedLog log, String topic, Consumer<String> onMalformed) {
    this.log = log;
    this.topic = topic;
    this.onMalformed = onMalformed;
  }

  @Override
  public long era() {
    return log.era();
  }

  @Override
  public void onEra(long era) {
    log.onEra(era);
  }

  @Override
  public void list(int partition, PageListener listener) {
    listFrom(partition, "", new ArrayList<>(), -1, listener);
  }

  /**
   * Lists the remaining pages. The pages of a listing do not form a snapshot, so the listing is
   * complete only up to the end offset of its first page, and reading continues from there.
   *
   * @param firstEnd the end offset of the first page; -1 before it is read
   */
  private void listFrom(
      int partition,
      String afterKey,
      List<LedgerRecord> records,
      long firstEnd,
      PageListener listener) {
    log.newest(
        topic,
        partition,
        afterKey,
        (outcome, page) -> {
          if (outcome != StoreOutcome.DONE) {
            listener.onFailed();
            return;
          }
          records.addAll(decoded(page));
          long end = firstEnd < 0 ? page.end() : firstEnd;
          if (page.hasMore()) {
            listFrom(partition, page.lastKey(), records, end, listener);
          } else {
            listener.onPage(new LedgerPage(records, end));
          }
        });
  }

  @Override
  public void read(int partition, long from, PageListener listener) {
    log.read(
        topic,
        partition,
        from,
        0,
        (outcome, page) -> {
          switch (outcome) {
            case DONE -> listener.onPage(new LedgerPage(decoded(page), page.end()));
            case EXPIRED -> listener.onExpired();
            default -> listener.onFailed();
          }
        });
  }

  @Override
  public void append(int partition, long at, List<LedgerRecord> records, AppendListener listener) {
    List<KeyedRecord> encoded =
        records.stream()
            .map(record -> new KeyedRecord(record.customer().value(), record.toBytes()))
            .toList();
    log.append(
        topic,
        partition,
        at,
        encoded,
        outcome -> {
          switch (outcome) {
            case DONE -> listener.onAppended();
            case CONFLICT -> listener.onConflict();
            default -> listener.onUnknown();
          }
        });
  }

  private List<LedgerRecord> decoded(RecordPage page) {
    return page.records().stream().map(this::decoded).toList();
  }

  private LedgerRecord decoded(KeyedRecord record) {
    try {
      return LedgerRecord.parse(CustomerId.of(record.key()), record.value());
    } catch (SnipeloomException e) {
      onMalformed.accept(record.key());
      return LedgerRecord.unreadable(customerOf(record.key()));
    }
  }

  private static CustomerId customerOf(String key) {
    try {
      return CustomerId.of(key);
    } catch (SnipeloomException e) {
      return NOBODY;
    }
  }
}
