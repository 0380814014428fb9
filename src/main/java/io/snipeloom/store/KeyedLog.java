package io.snipeloom.store;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A log of keyed records, of which the newest of each key is kept for good.
 *
 * <p>Each call ends with exactly one call of its listener on the event loop. The page is null
 * unless the answer is {@link StoreAnswer#DONE}.
 */
public interface KeyedLog {

  /**
   * Lists the newest record of each key, a page at a time.
   *
   * @param topic the topic
   * @param partition the partition
   * @param afterKey the key to continue after, empty for the first page
   * @param listener takes the answer
   */
  void newest(
      String topic, int partition, String afterKey, BiConsumer<StoreAnswer, RecordPage> listener);

  /**
   * Reads records in their order.
   *
   * @param topic the topic
   * @param partition the partition
   * @param from the offset of the first record
   * @param waitMillis how long the store waits for a record, in milliseconds
   * @param listener takes the answer
   */
  void read(
      String topic,
      int partition,
      long from,
      long waitMillis,
      BiConsumer<StoreAnswer, RecordPage> listener);

  /**
   * Appends records, all or none, if the partition ends at an offset.
   *
   * @param topic the topic
   * @param partition the partition
   * @param at the offset at which the partition must end
   * @param records the records
   * @param listener takes the answer
   */
  void append(
      String topic,
      int partition,
      long at,
      List<KeyedRecord> records,
      Consumer<StoreAnswer> listener);

  /**
   * Appends a record at the end of a partition.
   *
   * @param topic the topic
   * @param partition the partition
   * @param record the record
   * @param listener takes the answer
   */
  void append(String topic, int partition, KeyedRecord record, Consumer<StoreAnswer> listener);
}
