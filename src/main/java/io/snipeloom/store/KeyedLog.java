package io.snipeloom.store;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A log of keyed records. The newest record of each key is retained indefinitely.
 *
 * <p>Each operation calls its listener exactly once, on the event loop. The page passed to it is
 * null unless the outcome is {@link StoreOutcome#DONE} or {@link StoreOutcome#EXPIRED}; of the
 * latter it has no records.
 */
public interface KeyedLog {

  /** Receives the outcome of a read. */
  interface ReadListener {

    /**
     * Called when the read ended.
     *
     * @param outcome the outcome
     * @param page the records, or null, as for each operation
     */
    void onRead(StoreOutcome outcome, RecordPage page);

    /**
     * Called when a try of the read is not answered in time; the outcome follows.
     *
     * @param tries the number of tries so far, of which all but the first use new connections
     */
    default void onOverdue(int tries) {}
  }

  /**
   * Returns the era of the store, as far as its responses have shown. It rises when the store comes
   * back from an older copy of itself: acknowledged records may be gone, and offsets that were read
   * before may belong to other records.
   *
   * @return the era, 0 before the first response
   */
  long era();

  /**
   * Records an era of the store that another instance knows, as if a response had stated it.
   *
   * @param era the era; one that is not later than the known one changes nothing
   */
  void onEra(long era);

  /**
   * Lists the newest record of each key, a page at a time.
   *
   * @param afterKey the key after which the listing continues; empty for the first page
   * @param listener receives the outcome
   */
  void newest(
      String topic, int partition, String afterKey, BiConsumer<StoreOutcome, RecordPage> listener);

  /**
   * Reads records in the order of their offsets.
   *
   * @param from the offset of the first record
   * @param waitMillis how long the store waits for a record if there is none yet, in milliseconds
   * @param listener receives the outcome
   */
  void read(String topic, int partition, long from, long waitMillis, ReadListener listener);

  /**
   * Atomically appends records, provided that the partition ends at the given offset.
   *
   * @param at the expected end offset of the partition
   * @param listener receives the outcome
   */
  void append(
      String topic,
      int partition,
      long at,
      List<KeyedRecord> records,
      Consumer<StoreOutcome> listener);

  /**
   * Appends a record at the end of a partition, whatever its offset.
   *
   * @param listener receives the outcome
   */
  void append(String topic, int partition, KeyedRecord record, Consumer<StoreOutcome> listener);
}
