package io.snipeloom.client;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A log in memory for tests, with faults that are deterministic by seed.
 *
 * <p>Thread-safe. Reads never wait longer than their wait; a read of a log without news returns at
 * once if its wait is zero.
 */
public final class FakeLogService implements LogService {
  private final Random random;
  private final Map<String, List<byte[]>> streams = new HashMap<>();

  private boolean down;
  private int answersToLose;
  private double lostAnswerShare;
  private double lostRequestShare;
  private int retain;
  private long appends;

  private FakeLogService(long seed) {
    this.random = new Random(seed);
  }

  /** Returns an empty log whose random faults follow the seed. */
  public static FakeLogService of(long seed) {
    return new FakeLogService(seed);
  }

  /** Makes every call fail before it takes effect, or no longer. */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  /** Makes the next appends take effect but fail. */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Makes a share of the appends fail, before and after they take effect. */
  public synchronized void loseAtRandom(double requestShare, double answerShare) {
    lostRequestShare = requestShare;
    lostAnswerShare = answerShare;
  }

  /** Keeps only the last records of each stream; 0 for all. */
  public synchronized void setRetain(int records) {
    retain = records;
  }

  /** Returns the number of appends that took effect. */
  public synchronized long appends() {
    return appends;
  }

  @Override
  public synchronized long append(String stream, byte[] data) {
    if (down || random.nextDouble() < lostRequestShare) {
      throw lost("log.append").withRunState(RunState.UNKNOWN);
    }
    List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
    final long offset = records.size();
    records.add(data.clone());
    appends++;
    notifyAll();
    if (isAnswerLost()) {
      throw lost("log.append").withRunState(RunState.UNKNOWN);
    }
    return offset;
  }

  @Override
  public synchronized LogPage read(String stream, long from, int limit, Duration wait) {
    if (down) {
      throw lost("log.read");
    }
    if (size(stream) <= from && !wait.isZero()) {
      await(wait);
    }
    long first = retain == 0 ? 0 : Math.max(0, size(stream) - retain);
    List<LogRecord> found = new ArrayList<>();
    for (long i = Math.max(from, first); i < size(stream) && found.size() < limit; i++) {
      found.add(new LogRecord(i, streams.get(stream).get((int) i).clone()));
    }
    return new LogPage(first, size(stream), found);
  }

  private boolean isAnswerLost() {
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    return random.nextDouble() < lostAnswerShare;
  }

  private long size(String stream) {
    return streams.getOrDefault(stream, List.of()).size();
  }

  @SuppressWarnings("WaitNotInLoop")
  private void await(Duration wait) {
    try {
      wait(Math.max(1, wait.toMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw lost("log.read").withCause(e);
    }
  }

  private static SnipeloomException lost(String step) {
    return SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "no answer").withOrigin(step, "fake");
  }
}
