package io.snipeloom.coordination;

import io.snipeloom.state.DecisionRecord;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Accepts records for the decision stream and may batch the records of several callers into one
 * append.
 */
public interface RecordSink {

  /**
   * Appends records together and in order, after at most the linger time that the implementation
   * uses for batching. An append that is not answered is retried until the records are in the log.
   *
   * @return the log offset of the batch that holds the records; completes once this process has
   *     applied the batch
   */
  CompletionStage<Long> append(List<DecisionRecord> records);

  /**
   * Appends records together without the linger time, for a request that waits for them.
   *
   * @return the log offset of the batch that holds the records; completes once this process has
   *     applied the batch
   */
  default CompletionStage<Long> appendNow(List<DecisionRecord> records) {
    return append(records);
  }

  /**
   * Returns whether appends succeed, so that a request can fail early instead of waiting for an
   * append.
   *
   * @return false once appends have failed for one second or more
   */
  default boolean isReachable() {
    return true;
  }
}
