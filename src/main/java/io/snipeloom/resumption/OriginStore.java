package io.snipeloom.resumption;

import java.util.List;
import java.util.function.Consumer;

/** Stores the origins of streams where all instances can read them. */
public interface OriginStore {

  /** Receives the outcome of a read. */
  interface ReadListener {

    /**
     * Called when everything up to the end of the log was read.
     *
     * @param batches the batches of all instances since the previous read, oldest first
     */
    void onRead(List<OriginBatch> batches);

    /** Called when the log could not be read to its end. */
    void onFailed();
  }

  /**
   * Appends a batch.
   *
   * @param listener called once with true if the batch was stored; if false, it may have been
   */
  void append(OriginBatch batch, Consumer<Boolean> listener);

  /**
   * Reads what was appended since the previous successful read. Only one read may be in progress.
   *
   * @param listener receives the outcome, once
   */
  void readNew(ReadListener listener);
}
