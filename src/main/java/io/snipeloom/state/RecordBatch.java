package io.snipeloom.state;

import java.util.List;

/**
 * The records of one append.
 *
 * @param writer the incarnation that wrote the batch
 * @param sequence the number of the batch at this writer, from 1 without gaps; a second batch with
 *     the same number is dropped by every reader
 * @param basedOn the offset up to which the writer had applied the log when it built the batch
 * @param records the records in order
 */
public record RecordBatch(
    Incarnation writer, long sequence, long basedOn, List<DecisionRecord> records) {

  /** Checks the parts and copies the records. */
  public RecordBatch {
    RecordChecks.present("batch", writer, records);
    RecordChecks.require(sequence >= 1, "batch", "sequence must be at least 1");
    records = List.copyOf(records);
  }
}
