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
 * An in-memory log for tests that injects faults. Random faults are determined by a seed.
 *
 * <p>Thread-safe. A read without new records returns after its wait, or earlier if any record is
 * appended; if the wait is zero, it returns immediately.
 */
public final class FakeLogService implements LogService {
  private final Random random;
  private final Map<String, List<byte[]>> streams = new HashMap<>();

  private boolean down;
  private int responsesToLose;
  private double lostResponseProbability;
  private double lostRequestProbability;
  private int retain;
  private long appends;

  private FakeLogService(long seed) {
    this.random = new Random(seed);
  }

  /** Creates an empty log with the seed for random faults. */
  public static FakeLogService of(long seed) {
    return new FakeLogService(seed);
  }

  /** Sets whether every call fails without taking effect. */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  /** Makes the next {@code count} appends fail after the record is written. */
  public synchronized void loseResponses(int count) {
    responsesToLose = count;
  }

  /** Sets the probabilities that an append fails before and after the record is written. */
  public synchronized void loseAtRandom(double requestProbability, double responseProbability) {
    lostRequestProbability = requestProbability;
    lostResponseProbability = responseProbability;
  }

  /** Retains only the last {@code records} records of each stream; 0 retains all. */
  public synchronized void setRetain(int records) {
    retain = records;
  }

  /** Returns the number of records written, including those whose append failed. */
  public synchronized long appends() {
    return appends;
  }

  @Override
  public synchronized long append(String stream, byte[] data) {
    if (down || random.nextDouble() < lostRequestProbability) {
      throw unavailable("log.append").withRunState(RunState.UNKNOWN);
    }
    List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
    final long offset = records.size();
    records.add(data.clone());
    appends++;
    notifyAll();
    if (isResponseLost()) {
      throw unavailable("log.append").withRunState(RunState.UNKNOWN);
    }
    return offset;
  }

  @Override
  public synchronized LogPage read(String stream, long firstOffset, int limit, Duration wait) {
    if (down) {
      throw unavailable("log.read");
    }
    if (size(stream) <= firstOffset && !wait.isZero()) {
      await(wait);
    }
    long first = retain == 0 ? 0 : Math.max(0, size(stream) - retain);
    List<LogRecord> found = new ArrayList<>();
    for (long i = Math.max(firstOffset, first); i < size(stream) && found.size() < limit; i++) {
      found.add(new LogRecord(i, streams.get(stream).get((int) i).clone()));
    }
    return new LogPage(first, size(stream), found);
  }

  private boolean isResponseLost() {
    if (responsesToLose > 0) {
      responsesToLose--;
      return true;
    }
    return random.nextDouble() < lostResponseProbability;
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
      throw unavailable("log.read").withCause(e);
    }
  }

  private static SnipeloomException unavailable(String step) {
    return SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "no response").withOrigin(step, "fake");
  }
}
