package io.snipeloom.resumption;

import java.util.List;
import java.util.function.Consumer;

/** Stores the origins of streams, and what may be one, where all instances can read them. */
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

  /** Receives the outcome of a listing. */
  interface ListingListener {

    /**
     * Called with all declared origins.
     *
     * @param declared the newest declaration of each origin by each incarnation
     * @param complete false if a declaration could not be decoded
     */
    void onListed(List<DeclaredOrigin> declared, boolean complete);

    /** Called when the declared origins could not be listed. */
    void onFailed();
  }

  /**
   * Returns the era of the store; it rises when the store may have lost what was written.
   *
   * @return the era, 0 before the first response
   */
  long era();

  /**
   * Declares that streams may begin at an origin from now on.
   *
   * @param listener called once with true if the declaration was stored; if false, it may have been
   */
  void declare(StreamOrigin origin, Consumer<Boolean> listener);

  /**
   * Removes a declaration of an earlier incarnation of this instance.
   *
   * @param listener called once with true if it was removed; if false, it may have been
   */
  void retire(DeclaredOrigin declared, Consumer<Boolean> listener);

  /**
   * Lists the origins that any instance declared before this call.
   *
   * @param listener receives the outcome, once
   */
  void listDeclared(ListingListener listener);

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
