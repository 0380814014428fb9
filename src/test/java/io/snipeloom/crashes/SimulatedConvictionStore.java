package io.snipeloom.crashes;

import static io.snipeloom.crashes.SimulatedTime.MILLI;

import io.snipeloom.crashes.CrashScenario.Disturbance;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A store in simulated time that delays what it stores and what is read of it, and that has the
 * trouble of a scenario. Not thread-safe.
 */
final class SimulatedConvictionStore {
  /** When the trouble of a scenario begins. */
  static final long TROUBLE_FROM_NANOS = 8_000 * MILLI;

  /** When the trouble of a scenario ends. */
  static final long TROUBLE_TO_NANOS = 14_000 * MILLI;

  private static final long MAX_DELAY_NANOS = 10 * MILLI;
  private static final long SLOW_NANOS = 400 * MILLI;

  /** How old the copy is that the store comes back from. */
  private static final long COPY_AGE_NANOS = 3_000 * MILLI;

  private final SimulatedTime time;
  private final Disturbance disturbance;
  private final List<SimulatedInstance> readers = new ArrayList<>();
  private final Map<RequestTrait, Conviction> convictions = new LinkedHashMap<>();
  private final Map<RequestTrait, String> trials = new LinkedHashMap<>();
  private final Map<SimulatedInstance, Long> lastReadNanos = new LinkedHashMap<>();
  private Map<RequestTrait, Conviction> copy = Map.of();
  private Map<RequestTrait, String> copyOfTrials = Map.of();

  SimulatedConvictionStore(SimulatedTime time, Disturbance disturbance) {
    this.time = time;
    this.disturbance = disturbance;
    if (disturbance == Disturbance.STORE_REVERTS) {
      time.after(TROUBLE_TO_NANOS - COPY_AGE_NANOS, this::copy);
      time.after(TROUBLE_TO_NANOS, this::revert);
    }
  }

  void addReader(SimulatedInstance reader) {
    readers.add(reader);
  }

  /** Lets an instance read what is stored. */
  void list(CrashControl reader) {
    reader.onListed(List.copyOf(convictions.values()), Map.copyOf(trials));
  }

  /** Returns the store as one instance writes to it. */
  ConvictionStore writtenBy(SimulatedInstance writer) {
    return new ConvictionStore() {
      @Override
      public void append(EvidenceBatch batch, Consumer<Boolean> listener) {
        EvidenceBatch read = EvidenceBatch.parse(batch.toBytes());
        store(
            writer,
            () -> {},
            reader -> {
              if (reader != writer) {
                reader.control().onEvidence(writer.name(), read, time.nowNanos());
              }
            },
            listener);
      }

      @Override
      public void put(Conviction conviction, Consumer<Boolean> listener) {
        store(
            writer,
            () -> convictions.put(conviction.trait(), conviction),
            reader -> reader.control().onStored(conviction),
            listener);
      }

      @Override
      public void claimTrial(RequestTrait request, String claimant, Consumer<Boolean> listener) {
        store(
            writer,
            () -> trials.put(request, claimant),
            reader -> reader.control().onTrialClaimed(request, claimant),
            listener);
      }

      @Override
      public void remove(RequestTrait trait, Consumer<Boolean> listener) {
        store(
            writer,
            () -> {
              trials.remove(trait);
              convictions.remove(trait);
            },
            reader -> reader.control().onRemoved(trait),
            listener);
      }
    };
  }

  private void store(
      SimulatedInstance writer,
      Runnable apply,
      Consumer<SimulatedInstance> read,
      Consumer<Boolean> listener) {
    long delayNanos = drawDelayNanos();
    if (isTrouble(Disturbance.STORE_AWAY) || writer.isCutOff()) {
      time.after(delayNanos, () -> listener.accept(false));
      return;
    }
    for (SimulatedInstance reader : readers) {
      long readNanos = time.nowNanos() + delayNanos + drawDelayNanos();
      long inOrderNanos = Math.max(readNanos, lastReadNanos.getOrDefault(reader, 0L));
      lastReadNanos.put(reader, inOrderNanos);
      time.after(
          inOrderNanos - time.nowNanos(), () -> reader.whenReachable(() -> read.accept(reader)));
    }
    boolean answered = !isTrouble(Disturbance.ANSWERS_LOST) || time.random().nextBoolean();
    time.after(
        delayNanos,
        () -> {
          apply.run();
          listener.accept(answered);
        });
  }

  private long drawDelayNanos() {
    long slowNanos = isTrouble(Disturbance.STORE_SLOW) ? SLOW_NANOS : 0;
    return slowNanos + (long) (time.random().nextDouble() * MAX_DELAY_NANOS);
  }

  private void copy() {
    copy = Map.copyOf(convictions);
    copyOfTrials = Map.copyOf(trials);
  }

  private void revert() {
    convictions.clear();
    convictions.putAll(copy);
    trials.clear();
    trials.putAll(copyOfTrials);
    for (SimulatedInstance reader : readers) {
      reader.control().onStoreReverted();
      list(reader.control());
    }
  }

  private boolean isTrouble(Disturbance kind) {
    return disturbance == kind
        && time.nowNanos() >= TROUBLE_FROM_NANOS
        && time.nowNanos() < TROUBLE_TO_NANOS;
  }
}
