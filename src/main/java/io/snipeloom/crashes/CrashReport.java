package io.snipeloom.crashes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts that one instance had in flight at a replica when it crashed. Immutable.
 *
 * @param replica the incarnation of the replica
 * @param ageMillis how long ago it crashed, in milliseconds, at least 0
 * @param attempts the number of attempts in flight, at least 1
 * @param suspects the traits in flight, at most {@link #MAX_SUSPECTS}
 */
public record CrashReport(String replica, long ageMillis, int attempts, List<Suspect> suspects) {
  /** The most traits that a report names; the attempts sent last come first. */
  public static final int MAX_SUSPECTS = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Checks the ranges and makes an immutable copy of the suspects. */
  public CrashReport {
    if (ageMillis < 0 || attempts < 1 || suspects.size() > MAX_SUSPECTS) {
      throw new IllegalArgumentException("crash report out of range");
    }
    suspects = List.copyOf(suspects);
  }

  /**
   * Returns the report of a crash.
   *
   * @param replica the incarnation of the replica
   * @param crashedNanos when it crashed
   * @param inFlight what it had in flight, at least one attempt
   * @param shares the shares of the traits in all attempts of the instance
   * @param nowNanos the current time
   */
  static CrashReport of(
      String replica,
      long crashedNanos,
      List<InFlight> inFlight,
      TraitShares shares,
      long nowNanos) {
    List<InFlight> youngestFirst = new ArrayList<>(inFlight);
    youngestFirst.sort((left, right) -> Long.compare(right.sentNanos(), left.sentNanos()));
    Map<RequestTrait, Suspect> suspects = new LinkedHashMap<>();
    for (InFlight attempt : youngestFirst) {
      long sentMillisBefore = Math.max(0, (crashedNanos - attempt.sentNanos()) / NANOS_PER_MILLI);
      for (RequestTrait part : attempt.traits().parts()) {
        suspects.putIfAbsent(
            part,
            new Suspect(
                part,
                sentMillisBefore,
                attempt.traits().request().value(),
                shares.shareOf(part, nowNanos)));
      }
    }
    return new CrashReport(
        replica,
        Math.max(0, (nowNanos - crashedNanos) / NANOS_PER_MILLI),
        inFlight.size(),
        suspects.values().stream().limit(MAX_SUSPECTS).toList());
  }

  /** Returns the same report, as it reads a while later. */
  CrashReport withAgeMillis(long newAgeMillis) {
    return new CrashReport(replica, newAgeMillis, attempts, suspects);
  }
}
