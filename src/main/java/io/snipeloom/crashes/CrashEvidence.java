package io.snipeloom.crashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Infers from crashes which part of prompts causes them.
 *
 * <p>A crash takes all requests of its replica with it, so each of them is a suspect. These rules
 * tell the cause from the bystanders:
 *
 * <ul>
 *   <li>A trait of a request that a replica survived later than a crash did not cause it.
 *   <li>Replicas that crash at the same moment have another cause in common.
 *   <li>Of the crashes of a trait, only those count in which an attempt was sent after the crash
 *       counted before.
 *   <li>A trait that is absent from most crashes of its time did not cause the others.
 *   <li>The less likely a trait is to be at a replica by chance, the more its presence says.
 *   <li>A trait is the cause only if different requests with it crashed, and what one of them does
 *       again says little more.
 *   <li>A crash that a convicted trait explains says nothing about others, and one that a crashing
 *       request explains says nothing about what other requests have.
 *   <li>Of traits that were at the same crashes, the rarest explains them. The crashes count again
 *       for one of the others once it is at a crash that no convicted trait explains.
 * </ul>
 *
 * <p>Not thread-safe.
 */
final class CrashEvidence {
  /** The crashes that convict a trait of which no survived request is known. */
  private static final int CRASHES_TO_CONVICT = 4;

  /** The crashes that convict a trait that was sound lately, or one of several alike. */
  private static final int CRASHES_TO_CONVICT_DOUBTFUL = 5;

  /** The number of different requests whose crashes convict a trait that they share. */
  private static final int REQUESTS_TO_CONVICT = 3;

  /** The most crashes under one request that count for each of its traits. */
  private static final int MAX_CRASHES_OF_REQUEST = 2;

  /** The evidence that convicts: the negative logarithm of the probability of a coincidence. */
  private static final double EVIDENCE_TO_CONVICT = 3;

  /** The evidence that convicts a trait that was sound lately. */
  private static final double EVIDENCE_TO_CONVICT_DOUBTFUL = 6;

  /**
   * The share of the crashes since its first one at which a culprit was present, at least. It is
   * below one half, so that several culprits at a time are found.
   */
  private static final double MIN_COVERAGE = 0.3;

  /** The lowest probability of presence that a share, which is an estimate, can show. */
  private static final double MIN_PRESENCE = 0.05;

  /** The number of replicas that crash at the same moment only for a cause in common. */
  private static final int SIMULTANEOUS_CRASHES = 3;

  private static final long SIMULTANEOUS_NANOS = 25_000_000L;

  /** How long a survived request makes its traits count as sound lately. */
  private static final long SOUND_LATELY_NANOS = 60_000_000_000L;

  /** The time after the first crash in which other instances say which traits are sound. */
  private static final long MIN_DELAY_NANOS = 250_000_000L;

  /** The same for a trait that was sound lately, of which another request may yet be survived. */
  private static final long MIN_DELAY_SOUND_NANOS = 2_000_000_000L;

  /** How inexact the times are that instances report to each other. */
  private static final long TIME_TOLERANCE_NANOS = 20_000_000L;

  private static final long RETENTION_NANOS = 600_000_000_000L;
  private static final int MAX_CRASHES = 64;
  private static final int MAX_SOUND_TRAITS = 8_192;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<String, Crash> crashes = new LinkedHashMap<>();
  private final Map<RequestTrait, Long> lastCrashNanos = new HashMap<>();
  private final Map<RequestTrait, Long> soundNanos = new LinkedHashMap<>(64, 0.75f, true);

  /** A trait that causes crashes, and the number of crashes that show it. */
  record Culprit(RequestTrait trait, int crashes) {}

  /** A crash of a replica with all that the instances had in flight there. */
  private static final class Crash {
    private final String replica;
    private final long atNanos;
    private final Map<RequestTrait, Presence> suspects = new HashMap<>();
    private int attempts;

    Crash(String replica, long atNanos) {
      this.replica = replica;
      this.atNanos = atNanos;
    }

    /** Returns how much the presence of a trait says, as a negative logarithm. */
    double evidence(Presence presence) {
      double byChance = 1 - Math.pow(1 - presence.share(), attempts);
      return -Math.log(Math.max(MIN_PRESENCE, byChance));
    }
  }

  /**
   * The attempts of one trait at a replica that crashed.
   *
   * @param lastSentNanos when the youngest of them was sent
   * @param request the identifier of the request of the youngest
   * @param share the share of all attempts that have the trait
   * @param position the position of the trait among those of the crash; parts of one prompt are in
   *     its order
   */
  private record Presence(long lastSentNanos, String request, double share, int position) {
    Presence plus(Presence other) {
      Presence youngest = lastSentNanos >= other.lastSentNanos ? this : other;
      return new Presence(
          youngest.lastSentNanos,
          youngest.request,
          Math.max(share, other.share),
          youngest.position);
    }
  }

  /**
   * The crashes that count for one trait.
   *
   * @param unexplained those of the crashes that no convicted trait explains
   * @param shares the sum of the shares of the trait at the crashes
   * @param positions the sum of its positions
   */
  private record Count(
      RequestTrait trait,
      int crashes,
      int unexplained,
      Map<String, Integer> crashesOfRequests,
      double evidence,
      double shares,
      int positions,
      long firstNanos,
      long lastNanos) {
    /** The rarest trait first; among parts of the same prompts the last one. */
    private static final Comparator<Count> BY_RARITY =
        Comparator.comparingDouble(Count::shares)
            .thenComparing(Comparator.comparingInt(Count::positions).reversed())
            .thenComparing(count -> count.trait().toString());

    static Count none(RequestTrait trait, long firstNanos) {
      return new Count(trait, 0, 0, Map.of(), 0, 0, 0, firstNanos, firstNanos);
    }

    Count plus(Crash crash, Presence presence, boolean explained) {
      Map<String, Integer> ofRequests = new HashMap<>(crashesOfRequests);
      ofRequests.merge(presence.request(), 1, Integer::sum);
      return new Count(
          trait,
          crashes + 1,
          unexplained + (explained ? 0 : 1),
          ofRequests,
          evidence + crash.evidence(presence),
          shares + presence.share(),
          positions + presence.position(),
          firstNanos,
          crash.atNanos);
    }

    /** Returns whether the request under which a crash happened has crashed often before. */
    boolean isExhausted(Presence presence) {
      return crashesOfRequests.getOrDefault(presence.request(), 0) >= MAX_CRASHES_OF_REQUEST;
    }
  }

  /** Adds what one instance saw of a crash. */
  void addCrash(CrashReport report, long nowNanos) {
    long atNanos = nowNanos - report.ageMillis() * NANOS_PER_MILLI;
    Crash crash = crashes.computeIfAbsent(report.replica(), replica -> new Crash(replica, atNanos));
    crash.attempts += report.attempts();
    for (int i = 0; i < report.suspects().size(); i++) {
      Suspect suspect = report.suspects().get(i);
      long sentNanos = atNanos - suspect.sentMillisBefore() * NANOS_PER_MILLI;
      crash.suspects.merge(
          suspect.trait(),
          new Presence(sentNanos, suspect.request(), suspect.share(), i),
          Presence::plus);
      lastCrashNanos.merge(suspect.trait(), crash.atNanos, Math::max);
    }
    expire(nowNanos);
  }

  /** Adds that a replica survived a request with a trait. */
  void addSound(RequestTrait trait, long atNanos) {
    soundNanos.merge(trait, atNanos, Math::max);
    Iterator<RequestTrait> eldest = soundNanos.keySet().iterator();
    while (soundNanos.size() > MAX_SOUND_TRAITS) {
      eldest.next();
      eldest.remove();
    }
  }

  /** Returns when a replica last survived a request with a trait; empty if not lately. */
  OptionalLong lastSoundNanos(RequestTrait trait, long nowNanos) {
    Long atNanos = soundNanos.get(trait);
    return atNanos == null || nowNanos - atNanos > SOUND_LATELY_NANOS
        ? OptionalLong.empty()
        : OptionalLong.of(atNanos);
  }

  /** Returns whether a trait was in flight in a crash later than its last survived request. */
  boolean isSuspected(RequestTrait trait) {
    Long crashed = lastCrashNanos.get(trait);
    return crashed != null && isSuspected(trait, crashed);
  }

  private boolean isSuspected(RequestTrait trait, long crashedNanos) {
    Long sound = soundNanos.get(trait);
    return sound == null || crashedNanos - sound > 0;
  }

  /** Forgets the crashes of a trait, which is not to be suspected for them any more. */
  void clear(RequestTrait trait) {
    crashes.values().forEach(crash -> crash.suspects.remove(trait));
    lastCrashNanos.remove(trait);
  }

  /**
   * Returns a trait that causes crashes which no convicted trait explains; empty if there is none.
   *
   * @param convicted returns whether a trait has been convicted
   * @param crashingRequests the requests that crash replicas whatever parts they have, of each
   *     replica that ended under them
   * @param nowNanos the current time
   */
  Optional<Culprit> findCulprit(
      Predicate<RequestTrait> convicted, Map<String, Set<String>> crashingRequests, long nowNanos) {
    List<Crash> single = singleCrashes();
    List<Crash> unexplained =
        single.stream()
            .filter(crash -> crash.suspects.keySet().stream().noneMatch(convicted))
            .toList();
    List<Count> eligible =
        count(single, convicted, crashingRequests).stream()
            .filter(count -> !convicted.test(count.trait()))
            .filter(count -> isEligible(count, nowNanos))
            .filter(count -> coverage(count, unexplained) >= MIN_COVERAGE)
            .sorted(
                Comparator.comparingDouble(Count::evidence)
                    .thenComparingInt(Count::crashes)
                    .reversed())
            .toList();
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    Count first = eligible.get(0);
    List<Count> rivals =
        eligible.stream()
            .filter(count -> count.crashes() >= first.crashes())
            .filter(count -> count.evidence() >= first.evidence())
            .sorted(Count.BY_RARITY)
            .toList();
    if (rivals.size() > 1 && first.crashes() < CRASHES_TO_CONVICT_DOUBTFUL) {
      return Optional.empty();
    }
    return Optional.of(new Culprit(rivals.get(0).trait(), rivals.get(0).crashes()));
  }

  /**
   * Returns whether {@link #findCulprit} may return one later although no evidence is added.
   *
   * @param nowNanos the current time
   */
  boolean mayDecideLater(long nowNanos) {
    return crashes.values().stream()
        .anyMatch(crash -> nowNanos - crash.atNanos < MIN_DELAY_SOUND_NANOS);
  }

  private boolean isEligible(Count count, long nowNanos) {
    boolean soundLately = lastSoundNanos(count.trait(), nowNanos).isPresent();
    int needed = soundLately ? CRASHES_TO_CONVICT_DOUBTFUL : CRASHES_TO_CONVICT;
    double evidenceNeeded = soundLately ? EVIDENCE_TO_CONVICT_DOUBTFUL : EVIDENCE_TO_CONVICT;
    long delayNanos = soundLately ? MIN_DELAY_SOUND_NANOS : MIN_DELAY_NANOS;
    return count.unexplained() > 0
        && count.crashes() >= needed
        && count.crashesOfRequests().size() >= REQUESTS_TO_CONVICT
        && count.evidence() >= evidenceNeeded
        && nowNanos - count.firstNanos() >= delayNanos;
  }

  private static double coverage(Count count, List<Crash> crashes) {
    List<Crash> ofItsTime =
        crashes.stream().filter(crash -> crash.atNanos >= count.firstNanos()).toList();
    long present =
        ofItsTime.stream().filter(crash -> crash.suspects.containsKey(count.trait())).count();
    return (double) present / ofItsTime.size();
  }

  /** Returns the crashes without a cause in common, in the order of their times. */
  private List<Crash> singleCrashes() {
    List<Crash> inOrder = new ArrayList<>(crashes.values());
    inOrder.sort(Comparator.comparingLong(crash -> crash.atNanos));
    List<Crash> single = new ArrayList<>();
    int first = 0;
    int end = 0;
    for (Crash crash : inOrder) {
      while (inOrder.get(first).atNanos < crash.atNanos - SIMULTANEOUS_NANOS) {
        first++;
      }
      while (end < inOrder.size()
          && inOrder.get(end).atNanos <= crash.atNanos + SIMULTANEOUS_NANOS) {
        end++;
      }
      if (end - first < SIMULTANEOUS_CRASHES) {
        single.add(crash);
      }
    }
    return single;
  }

  private Collection<Count> count(
      List<Crash> inOrder,
      Predicate<RequestTrait> convicted,
      Map<String, Set<String>> crashingRequests) {
    Map<RequestTrait, Set<RequestTrait>> companions = companions(inOrder, convicted);
    Map<RequestTrait, Count> counts = new HashMap<>();
    for (Crash crash : inOrder) {
      Set<String> crashing = crashingRequests.getOrDefault(crash.replica, Set.of());
      List<RequestTrait> causes = crash.suspects.keySet().stream().filter(convicted).toList();
      crash.suspects.forEach(
          (trait, presence) -> {
            Count before = counts.getOrDefault(trait, Count.none(trait, crash.atNanos));
            boolean sentSince =
                before.crashes() == 0
                    || presence.lastSentNanos() - before.lastNanos() >= -TIME_TOLERANCE_NANOS;
            boolean ofRequest = !crashing.isEmpty() && !crashing.contains(presence.request());
            boolean explained =
                ofRequest
                    || !causes.stream().allMatch(cause -> companions.get(cause).contains(trait));
            boolean further = sentSince && !explained && !before.isExhausted(presence);
            if (further && isSuspected(trait, crash.atNanos)) {
              counts.put(trait, before.plus(crash, presence, !causes.isEmpty()));
            }
          });
    }
    return counts.values();
  }

  /**
   * Returns for each convicted trait those that were at all of its crashes, if there are enough.
   */
  private static Map<RequestTrait, Set<RequestTrait>> companions(
      List<Crash> crashes, Predicate<RequestTrait> convicted) {
    Map<RequestTrait, Set<RequestTrait>> companions = new HashMap<>();
    Map<RequestTrait, Integer> crashCounts = new HashMap<>();
    for (Crash crash : crashes) {
      for (RequestTrait cause : crash.suspects.keySet()) {
        if (convicted.test(cause)) {
          crashCounts.merge(cause, 1, Integer::sum);
          companions
              .computeIfAbsent(cause, key -> new HashSet<>(crash.suspects.keySet()))
              .retainAll(crash.suspects.keySet());
        }
      }
    }
    companions.replaceAll(
        (cause, traits) -> crashCounts.get(cause) < CRASHES_TO_CONVICT ? Set.of() : traits);
    return companions;
  }

  private void expire(long nowNanos) {
    List<String> expired = new ArrayList<>();
    crashes.forEach(
        (replica, crash) -> {
          boolean tooMany = crashes.size() - expired.size() > MAX_CRASHES;
          if (tooMany || nowNanos - crash.atNanos > RETENTION_NANOS) {
            expired.add(replica);
          }
        });
    if (!expired.isEmpty()) {
      expired.forEach(crashes::remove);
      lastCrashNanos.keySet().removeIf(this::isInNoCrash);
    }
  }

  private boolean isInNoCrash(RequestTrait trait) {
    return crashes.values().stream().noneMatch(crash -> crash.suspects.containsKey(trait));
  }
}
