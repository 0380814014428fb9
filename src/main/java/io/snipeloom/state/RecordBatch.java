package io.snipeloom.state;

import java.util.List;

/**
 * A batch of records that a writer appends to the log in one operation.
 *
 * @param writer the incarnation that wrote the batch
 * @param sequence the sequence number of the batch, counted per writer from 1 without gaps; readers
 *     drop a batch whose number is not higher than that of an earlier batch of the writer
 * @param basedOn the offset up to which the writer had applied the log when it built the batch
 * @param records the records in the order in which they are applied
 */
public record RecordBatch(
    Incarnation writer, long sequence, long basedOn, List<DecisionRecord> records) {

  /** Checks the components and copies the records. */
  public RecordBatch {
    RecordChecks.requirePresent("batch", writer, records);
    RecordChecks.require(sequence >= 1, "batch", "sequence must be at least 1");
    records = List.copyOf(records);
  }
}
