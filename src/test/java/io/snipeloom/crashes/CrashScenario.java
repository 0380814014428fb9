package io.snipeloom.crashes;

/**
 * What a {@link CrashSimulation} plays. Immutable.
 *
 * @param instances the number of instances
 * @param replicas the number of replicas
 * @param services the number of services that share the replicas, 1 or 2
 * @param crashingPerSecond the requests per second with the crashing part, 0 for none
 * @param crashesFromMillis when the first of them comes
 * @param recurring the number of requests that crash each replica and come again and again
 * @param singlesPerSecond the replicas per second that crash alone for other reasons
 * @param waveShare the share of replicas that crash in each wave, 0 for no waves
 * @param waveEveryMillis the time between two waves
 * @param disturbance what happens to the store or to an instance
 * @param millis how long it lasts
 */
record CrashScenario(
    int instances,
    int replicas,
    int services,
    double crashingPerSecond,
    long crashesFromMillis,
    int recurring,
    double singlesPerSecond,
    double waveShare,
    long waveEveryMillis,
    Disturbance disturbance,
    long millis) {

  /** What happens to the store or to the first instance. */
  enum Disturbance {
    /** Nothing. */
    NONE(false),
    /** All calls to the store fail. */
    STORE_AWAY(true),
    /** The store answers late. */
    STORE_SLOW(true),
    /** The store stores what it is sent, but half of its answers are lost. */
    ANSWERS_LOST(true),
    /** The store comes back from a copy that is some seconds old. */
    STORE_REVERTS(true),
    /** The store neither answers nor tells the first instance anything. */
    INSTANCE_CUT_OFF(false),
    /** The first instance does nothing for a while and then goes on. */
    INSTANCE_FROZEN(false),
    /** The first instance ends and starts again. */
    INSTANCE_RESTARTS(false);

    private final boolean ofStore;

    Disturbance(boolean ofStore) {
      this.ofStore = ofStore;
    }

    /** Returns whether it concerns all instances, as it is of the store. */
    boolean isOfStore() {
      return ofStore;
    }
  }

  /** Returns a scenario without any crash. */
  static CrashScenario of(int instances, int replicas, long millis) {
    return new CrashScenario(instances, replicas, 1, 0, 0, 0, 0, 0, 0, Disturbance.NONE, millis);
  }

  /** Returns the scenario with requests that have a crashing part in common. */
  CrashScenario withCrashingPart(double perSecond, long fromMillis) {
    return new CrashScenario(
        instances,
        replicas,
        services,
        perSecond,
        fromMillis,
        recurring,
        singlesPerSecond,
        waveShare,
        waveEveryMillis,
        disturbance,
        millis);
  }

  /** Returns the scenario with requests that come again, for one of the services each. */
  CrashScenario withRecurring(int requests, int newServices) {
    return new CrashScenario(
        instances,
        replicas,
        newServices,
        crashingPerSecond,
        crashesFromMillis,
        requests,
        singlesPerSecond,
        waveShare,
        waveEveryMillis,
        disturbance,
        millis);
  }

  /** Returns the scenario with crashes that have other reasons. */
  CrashScenario withOtherCrashes(double newSingles, double newWaveShare, long newWaveEveryMillis) {
    return new CrashScenario(
        instances,
        replicas,
        services,
        crashingPerSecond,
        crashesFromMillis,
        recurring,
        newSingles,
        newWaveShare,
        newWaveEveryMillis,
        disturbance,
        millis);
  }

  /** Returns the scenario with something that happens to the store or to an instance. */
  CrashScenario withDisturbance(Disturbance other) {
    return new CrashScenario(
        instances,
        replicas,
        services,
        crashingPerSecond,
        crashesFromMillis,
        recurring,
        singlesPerSecond,
        waveShare,
        waveEveryMillis,
        other,
        millis);
  }
}
