package io.snipeloom.crashes;

import static io.snipeloom.crashes.SimulatedConvictionStore.TROUBLE_FROM_NANOS;
import static io.snipeloom.crashes.SimulatedConvictionStore.TROUBLE_TO_NANOS;
import static io.snipeloom.crashes.SimulatedTime.MILLI;

import io.snipeloom.crashes.CrashScenario.Disturbance;
import java.util.Set;

/** An instance in simulated time, with its trouble. Not thread-safe. */
final class SimulatedInstance implements CrashControl.Listener {
  /** How long nothing has happened to an instance before the bounds of the platform hold for it. */
  private static final long STABLE_NANOS = 3_000 * MILLI;

  private final String name;
  private final SimulatedTime time;
  private final SimulatedConvictionStore store;
  private final Disturbance disturbance;
  private final int instances;
  private final Set<RequestTrait> everConvicted;
  private CrashControl control;
  private int starts;

  /**
   * Creates an instance.
   *
   * @param disturbance what happens to it or to the store
   * @param instances the number of instances
   * @param everConvicted receives the traits that it convicts
   */
  SimulatedInstance(
      String name,
      SimulatedTime time,
      SimulatedConvictionStore store,
      Disturbance disturbance,
      int instances,
      Set<RequestTrait> everConvicted) {
    this.name = name;
    this.time = time;
    this.store = store;
    this.disturbance = disturbance;
    this.instances = instances;
    this.everConvicted = everConvicted;
    store.addReader(this);
    control = newControl();
    if (disturbance == Disturbance.INSTANCE_RESTARTS) {
      time.after(TROUBLE_FROM_NANOS, this::restart);
    }
  }

  String name() {
    return name;
  }

  CrashControl control() {
    return control;
  }

  /** Returns whether the store does not answer this instance. */
  boolean isCutOff() {
    return disturbance == Disturbance.INSTANCE_CUT_OFF && isInTrouble();
  }

  /** Returns whether the instance does nothing. */
  boolean isFrozen() {
    return disturbance == Disturbance.INSTANCE_FROZEN && isInTrouble();
  }

  /** Returns whether the bounds of the platform hold for the instance. */
  boolean isInTouch() {
    boolean calm =
        time.nowNanos() < TROUBLE_FROM_NANOS || time.nowNanos() > TROUBLE_TO_NANOS + STABLE_NANOS;
    return disturbance == Disturbance.NONE || calm;
  }

  /** Runs a task once the instance is neither cut off nor frozen. */
  void whenReachable(Runnable task) {
    if (isCutOff() || isFrozen()) {
      time.after(TROUBLE_TO_NANOS - time.nowNanos(), task);
    } else {
      task.run();
    }
  }

  /** Runs a task once the instance is not frozen. */
  void whenRunning(Runnable task) {
    if (isFrozen()) {
      time.after(TROUBLE_TO_NANOS - time.nowNanos(), task);
    } else {
      task.run();
    }
  }

  void tick() {
    if (!isFrozen()) {
      control.tick(time.nowNanos());
    }
  }

  private boolean isInTrouble() {
    return time.nowNanos() >= TROUBLE_FROM_NANOS && time.nowNanos() < TROUBLE_TO_NANOS;
  }

  private void restart() {
    control = newControl();
    store.list(control);
  }

  private CrashControl newControl() {
    String claimant = name + "/" + ++starts;
    return new CrashControl(
        store.writtenBy(this), claimant, time::nowMillis, () -> instances, this);
  }

  @Override
  public void onConvicted(Conviction conviction) {
    everConvicted.add(conviction.trait());
  }

  @Override
  public void onConvictionEnded(RequestTrait trait, CrashControl.EndReason reason) {}

  @Override
  public void onCrash(CrashReport report) {}

  @Override
  public void onEvidence(String instance, EvidenceBatch batch) {}

  @Override
  public void onRequestCrash(RequestTrait request, ReplicaIncarnation replica, int crashes) {}

  @Override
  public void onTrial(RequestTrait request, boolean granted) {}

  @Override
  public void onEvidenceNotStored(int crashes) {}

  @Override
  public void onConvictionNotStored(int convictions) {}
}
