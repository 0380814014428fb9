package io.snipeloom.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Follows one keyed topic: lists it, then reads what is appended.
 *
 * <p>After an outage or when records have expired the topic is listed again. Not thread-safe.
 */
public final class TopicWatch {
  /** The partition of topics that have only one. */
  private static final int ONLY_PARTITION = 0;

  /** The pause after a failed call, so that an outage is not made worse. */
  private static final long RETRY_PAUSE_MILLIS = 150;

  private final KeyedLog log;
  private final String topic;
  private final long waitMillis;
  private final long pauseMillis;
  private final Listener listener;
  private final Timer timer;
  private long next;
  private boolean listed;

  /** Runs tasks later on the event loop. */
  public interface Timer {

    /**
     * Runs a task later.
     *
     * @param task the task
     * @param delayMillis the delay, in milliseconds
     */
    void after(Runnable task, long delayMillis);
  }

  /** Takes what the watch learns. */
  public interface Listener {

    /**
     * The topic was listed completely.
     *
     * @param records the newest record of each key
     */
    void onListed(List<KeyedRecord> records);

    /**
     * Records were appended.
     *
     * @param records the records in their order
     */
    void onAppended(List<KeyedRecord> records);

    /**
     * A call ended.
     *
     * @param answer how it ended
     */
    void onAnswer(StoreAnswer answer);
  }

  /**
   * Creates a watch.
   *
   * @param log the log
   * @param topic the topic
   * @param waitMillis how long a read waits for a record, in milliseconds
   * @param pauseMillis the pause after a read that returned records, in milliseconds; batches the
   *     records of a busy topic
   * @param timer runs tasks later
   * @param listener takes what is learned
   */
  public TopicWatch(
      KeyedLog log,
      String topic,
      long waitMillis,
      long pauseMillis,
      Timer timer,
      Listener listener) {
    this.log = log;
    this.topic = topic;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
    this.timer = timer;
    this.listener = listener;
  }

  /** Starts to follow the topic. */
  public void start() {
    list("", new ArrayList<>(), -1);
  }

  private void list(String afterKey, List<KeyedRecord> records, long firstEnd) {
    log.newest(
        topic,
        ONLY_PARTITION,
        afterKey,
        (answer, page) -> {
          listener.onAnswer(answer);
          if (answer != StoreAnswer.DONE) {
            timer.after(this::start, RETRY_PAUSE_MILLIS);
            return;
          }
          records.addAll(page.records());
          long end = firstEnd < 0 ? page.end() : firstEnd;
          if (page.hasMore()) {
            list(page.lastKey(), records, end);
            return;
          }
          next = end;
          listed = true;
          listener.onListed(records);
          read();
        });
  }

  private void read() {
    log.read(topic, ONLY_PARTITION, next, waitMillis, this::onRead);
  }

  private void onRead(StoreAnswer answer, RecordPage page) {
    listener.onAnswer(answer);
    switch (answer) {
      case DONE -> {
        next += page.records().size();
        if (!page.records().isEmpty()) {
          listener.onAppended(page.records());
        }
        long pause = page.records().isEmpty() ? 0 : pauseMillis;
        timer.after(this::read, pause);
      }
      case EXPIRED -> start();
      default -> timer.after(listed ? this::read : this::start, RETRY_PAUSE_MILLIS);
    }
  }
}
