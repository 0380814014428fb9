package io.snipeloom.coordination;

import io.snipeloom.state.DecisionRecord;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Takes records for the decision stream; records of several callers share one append. */
public interface RecordSink {

  /**
   * Appends records together, in order, within the usual linger time. A lost answer is retried
   * until the records are in the log.
   *
   * @param records the records
   * @return the offset of their batch, once this process has applied it
   */
  CompletionStage<Long> append(List<DecisionRecord> records);

  /**
   * Appends records together without lingering, for a request that waits for them.
   *
   * @param records the records
   * @return the offset of their batch, once this process has applied it
   */
  default CompletionStage<Long> appendNow(List<DecisionRecord> records) {
    return append(records);
  }

  /**
   * Returns whether appends are answered, so that a request need not wait for one in vain.
   *
   * @return false once appends have failed for a second or more
   */
  default boolean isReachable() {
    return true;
  }
}
