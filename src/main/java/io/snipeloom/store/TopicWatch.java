package io.snipeloom.store;

import io.snipeloom.state.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Follows one keyed topic: lists its newest records, then reads appended records.
 *
 * <p>When the records to be read have expired or the store has come back from an older copy of
 * itself, the topic is listed again, and so is a topic of which only the newest records matter when
 * more have been appended than it has keys. After any other failure a read is retried, and a
 * listing starts again from its first page. Not thread-safe.
 */
public final class TopicWatch {
  /** The number of the partition; the topic must have only one. */
  private static final int ONLY_PARTITION = 0;

  /** The delay before a retry after a failed call, which limits the load during an outage. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private final KeyedLog log;
  private final String topic;
  private final long waitMillis;
  private final long pauseMillis;
  private final Backlog backlog;
  private final Listener listener;
  private final Timer timer;
  private final AppendTimes appendTimes = new AppendTimes();
  private long next;
  private int listedKeys;
  private long era;
  private boolean listed;

  /** What is done with records that were appended faster than they were read. */
  public enum Backlog {
    /** All records are read, because each of them matters. */
    READ_ALL {
      @Override
      boolean isListed(long unread, int keys) {
        return false;
      }
    },
    /** The topic is listed if that is shorter, because only the newest record of a key matters. */
    READ_NEWEST {
      @Override
      boolean isListed(long unread, int keys) {
        return unread > keys;
      }
    };

    /**
     * Returns whether the topic is listed in place of reading on.
     *
     * @param unread the number of records after the last one that was read
     * @param keys the number of keys when the topic was listed last
     */
    abstract boolean isListed(long unread, int keys);
  }

  /** Schedules tasks on the event loop and reads the clocks. */
  public interface Timer {

    /** Returns the current moment. */
    Moment now();

    /**
     * Runs a task after a delay.
     *
     * @param delayMillis the delay, in milliseconds
     */
    void after(Runnable task, long delayMillis);
  }

  /** Receives the records of the topic and the outcome of each call. */
  public interface Listener {

    /**
     * The topic was listed completely, at the start or again after records expired.
     *
     * @param records the newest record of each key
     */
    void onListed(List<KeyedRecord> records);

    /**
     * A record was appended.
     *
     * @param record the record; those of one topic are passed on in the order of their offsets
     * @param after a moment after which it was appended, empty if none is known
     */
    void onAppended(KeyedRecord record, Optional<Moment> after);

    /**
     * A call to the store ended. Called before the records of the call are passed on.
     *
     * @param outcome the outcome of the call
     * @param availableAt a moment at which the store was available if the outcome shows that it
     *     was, otherwise without meaning
     */
    void onOutcome(StoreOutcome outcome, Moment availableAt);

    /**
     * A try of a call to the store is not answered in time; the outcome of the call follows.
     *
     * @param tries the number of tries so far, of which all but the first use new connections
     */
    default void onOverdue(int tries) {}

    /**
     * A record or a listing could not be applied, since a call to this listener failed. The watch
     * goes on with the records after it.
     *
     * @param topic the topic
     * @param failure what the listener threw
     */
    void onFailure(String topic, Throwable failure);
  }

  /**
   * Creates a watch, which is idle until {@link #start}.
   *
   * @param log the log that contains the topic
   * @param topic the topic, which must have a single partition
   * @param waitMillis how long the store waits for a record during a read, in milliseconds
   * @param pauseMillis the pause after a read that returned records, in milliseconds, so that the
   *     records of a busy topic are read in batches
   * @param backlog what is done with records that are appended faster than they are read
   * @param timer schedules reads and retries
   * @param listener receives the records and the outcome of each call
   */
  public TopicWatch(
      KeyedLog log,
      String topic,
      long waitMillis,
      long pauseMillis,
      Backlog backlog,
      Timer timer,
      Listener listener) {
    this.log = log;
    this.topic = topic;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
    this.backlog = backlog;
    this.timer = timer;
    this.listener = listener;
  }

  /** Lists the topic and starts to follow it. */
  public void start() {
    appendTimes.clear();
    list("", new ArrayList<>(), -1);
  }

  private void list(String afterKey, List<KeyedRecord> records, long firstEnd) {
    Moment sent = timer.now();
    log.newest(
        topic,
        ONLY_PARTITION,
        afterKey,
        (outcome, page) -> {
          listener.onOutcome(outcome, sent);
          if (outcome != StoreOutcome.DONE) {
            timer.after(this::start, RETRY_DELAY_MILLIS);
            return;
          }
          records.addAll(page.records());
          long end = firstEnd < 0 ? page.end() : firstEnd;
          appendTimes.onEnd(page.end(), sent);
          if (page.hasMore()) {
            list(page.lastKey(), records, end);
            return;
          }
          next = end;
          era = log.era();
          listed = true;
          listedKeys = records.size();
          deliver(() -> listener.onListed(records));
          read();
        });
  }

  /** Returns when the store was available; it waits before it answers that there is no record. */
  private Moment availableAt(StoreOutcome outcome, RecordPage page, Moment sent) {
    boolean waited = outcome == StoreOutcome.DONE && page.records().isEmpty();
    return waited ? Moment.earlier(sent.plusMillis(waitMillis), timer.now()) : sent;
  }

  private void deliver(KeyedRecord record) {
    Optional<Moment> after = appendTimes.appendedAfter(next);
    next++;
    deliver(() -> listener.onAppended(record, after));
  }

  /** Passes records on. A record that the listener fails at must not end the watch. */
  private void deliver(Runnable delivery) {
    try {
      delivery.run();
    } catch (RuntimeException | StackOverflowError e) {
      listener.onFailure(topic, e);
    }
  }

  private void read() {
    if (log.era() != era) {
      listener.onOutcome(StoreOutcome.REVERTED, timer.now());
      start();
      return;
    }
    log.read(topic, ONLY_PARTITION, next, waitMillis, new Read(timer.now()));
  }

  /** Receives the outcome of one read. */
  private final class Read implements KeyedLog.ReadListener {
    private final Moment sent;

    Read(Moment sent) {
      this.sent = sent;
    }

    @Override
    public void onRead(StoreOutcome outcome, RecordPage page) {
      TopicWatch.this.onRead(outcome, page, sent);
    }

    @Override
    public void onOverdue(int tries) {
      listener.onOverdue(tries);
    }
  }

  private void onRead(StoreOutcome outcome, RecordPage page, Moment sent) {
    Moment availableAt = availableAt(outcome, page, sent);
    listener.onOutcome(outcome, availableAt);
    switch (outcome) {
      case DONE -> {
        page.records().forEach(this::deliver);
        appendTimes.onEnd(page.end(), availableAt);
        if (!page.records().isEmpty()) {
          if (backlog.isListed(page.end() - next, listedKeys)) {
            start();
            return;
          }
        }
        long pause = page.records().isEmpty() ? 0 : pauseMillis;
        timer.after(this::read, pause);
      }
      case EXPIRED, REVERTED -> start();
      default -> timer.after(listed ? this::read : this::start, RETRY_DELAY_MILLIS);
    }
  }
}
