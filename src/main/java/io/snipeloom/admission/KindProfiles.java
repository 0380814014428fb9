package io.snipeloom.admission;

import io.snipeloom.cost.RequestCost;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the requests of each kind and priority were like recently. Not thread-safe.
 *
 * <p>By it is decided whether a less urgent request would make more urgent ones miss their time.
 */
final class KindProfiles {
  /** The time without a request after which a kind no longer counts. */
  private static final long FORGOTTEN_NANOS = 10_000_000_000L;

  /** How much one request changes the average. */
  private static final double WEIGHT = 0.1;

  /** The most kinds and priorities; further ones are not kept. */
  private static final int MAX_PROFILES = 256;

  private final Map<Key, Profile> profiles = new HashMap<>();

  private record Key(String service, String kind, int priority) {}

  /** The average request of a kind and priority. */
  static final class Profile {
    private final AdmissionRequest example;
    private double promptTokens;
    private double outputTokens;
    private double uncachedTokens;
    private long seenNanos;

    private Profile(AdmissionRequest example) {
      this.example = example;
      this.promptTokens = example.cost().promptTokens();
      this.outputTokens = example.cost().outputTokens();
      this.uncachedTokens = example.uncachedTokens();
    }

    private void record(AdmissionRequest request, long nowNanos) {
      promptTokens += WEIGHT * (request.cost().promptTokens() - promptTokens);
      outputTokens += WEIGHT * (request.cost().outputTokens() - outputTokens);
      uncachedTokens += WEIGHT * (request.uncachedTokens() - uncachedTokens);
      seenNanos = nowNanos;
    }

    /** Returns whether no such request was seen for some time. */
    boolean isForgotten(long nowNanos) {
      return nowNanos - seenNanos > FORGOTTEN_NANOS;
    }

    String kind() {
      return example.kind();
    }

    int priority() {
      return example.priority();
    }

    long targetMillis() {
      return example.targetMillis();
    }

    long targetGapMillis() {
      return example.targetGapMillis();
    }

    RequestCost cost() {
      return new RequestCost((long) promptTokens, outputTokens, outputTokens);
    }

    long averageUncachedTokens() {
      return (long) uncachedTokens;
    }
  }

  /** Records a request. */
  void record(AdmissionRequest request, long nowNanos) {
    Key key = new Key(request.service(), request.kind(), request.priority());
    Profile profile = profiles.get(key);
    if (profile == null || isChanged(profile, request)) {
      profile = new Profile(request);
      if (profiles.size() < MAX_PROFILES || profiles.containsKey(key)) {
        profiles.put(key, profile);
      }
    }
    profile.record(request, nowNanos);
  }

  private static boolean isChanged(Profile profile, AdmissionRequest request) {
    return profile.targetMillis() != request.targetMillis()
        || profile.targetGapMillis() != request.targetGapMillis();
  }

  /**
   * Returns the kinds of a service that were asked for recently and are at least as urgent.
   *
   * @param service the service
   * @param priority the lowest priority
   * @param nowNanos the current time
   */
  Collection<Profile> atLeastAsUrgent(String service, int priority, long nowNanos) {
    profiles.values().removeIf(profile -> profile.isForgotten(nowNanos));
    return List.copyOf(
        profiles.values().stream()
            .filter(profile -> profile.example.service().equals(service))
            .filter(profile -> profile.priority() <= priority)
            .filter(profile -> profile.targetMillis() > 0)
            .toList());
  }
}
