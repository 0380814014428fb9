package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the instances of a fleet together keep to the bound on requests to a cold replica,
 * whatever each of them knows of the others.
 */
class ColdReplicaFleetTest {
  private static final long MILLI = 1_000_000L;
  private static final long TICK_MILLIS = 20;
  private static final long PLAYED_MILLIS = 60_000;
  private static final long HEARTBEAT_MILLIS = 5_000;
  private static final int SEEDS = 100;

  /** The mean time between two disturbances of an instance. */
  private static final double CALM_MILLIS = 20_000;

  /** The instances that have a request for the replica in a tick, at most. */
  private static final int REQUESTS_PER_TICK = 24;

  /** The longest wait for a connection. */
  private static final int CONNECT_MILLIS = 250;

  private static final double COLD_PER_SECOND = 8.4;
  private static final double OVERSHOOT = 1.5;
  private static final double SLACK = 5;
  private static final int MOST_PER_SECOND = (int) (COLD_PER_SECOND * OVERSHOOT + SLACK);
  private static final ReplicaId REPLICA = new ReplicaId("i-1");

  private static final ColdStart COLD_START =
      ColdStart.of(3, COLD_PER_SECOND).with(new ColdStartBounds(OVERSHOOT, SLACK));

  private record Event(long atMillis, Runnable action) {}

  /** One instance: its process may start anew, stand still, and be cut off from the store. */
  private final class Instance {
    private final String name;
    private int boot;
    private ShareRoster roster;
    private LimitShares shares;
    private ReplicaLimit limit;
    private long frozenUntilMillis;
    private long cutUntilMillis;
    private int sequence;

    Instance(String name) {
      this.name = name;
      start();
    }

    void start() {
      boot++;
      roster = new ShareRoster();
      shares = new LimitShares(name, () -> nowMillis, roster);
      limit = new ReplicaLimit(REPLICA);
      limit.changeColdStart(COLD_START);
      limit.warmUp().onPossibleStart(nowNanos());
      int started = boot;
      at(random.nextInt((int) HEARTBEAT_MILLIS), () -> heartbeat(started));
    }

    /** Runs a step of this process, later if the process stands still, not if it has ended. */
    private void at(long delayMillis, Runnable step) {
      int started = boot;
      events.add(
          new Event(
              nowMillis + delayMillis,
              () -> {
                if (started != boot) {
                  return;
                }
                if (nowMillis < frozenUntilMillis) {
                  at(frozenUntilMillis - nowMillis, step);
                } else {
                  step.run();
                }
              }));
    }

    private void heartbeat(int started) {
      at(HEARTBEAT_MILLIS, () -> heartbeat(started));
      long sentNanos = nowNanos();
      String text = started + " " + ++sequence;
      boolean lost = isCut();
      events.add(new Event(nowMillis + latency(), () -> write(text, sentNanos, lost)));
    }

    private void write(String text, long sentNanos, boolean lost) {
      boolean applied = !lost || random.nextInt(3) == 0;
      if (applied) {
        stored.merge(name, text, (before, now) -> isLater(now, before) ? now : before);
      }
      if (!lost && !isCut()) {
        at(latency(), () -> acknowledged(sentNanos));
      }
    }

    private void acknowledged(long sentNanos) {
      roster.onHeartbeat(sentNanos, nowNanos());
      long listingNanos = nowNanos();
      events.add(
          new Event(
              nowMillis + latency(),
              () -> {
                Map<String, String> listing = Map.copyOf(stored);
                if (!isCut()) {
                  at(latency(), () -> listed(listing, listingNanos));
                }
              }));
    }

    private void listed(Map<String, String> listing, long sentNanos) {
      roster.onListing(listing, sentNanos, nowNanos());
      shares.refreshRoster();
    }

    private boolean isCut() {
      return nowMillis < cutUntilMillis;
    }

    /** Picks the replica for a request if that is possible, and sends it when it has connected. */
    void trySend() {
      if (nowMillis < frozenUntilMillis || !limit.mayReceive(shares, nowNanos())) {
        return;
      }
      limit.onPicked(shares, nowNanos());
      at(
          random.nextInt(CONNECT_MILLIS),
          () -> {
            if (limit.trySend(shares, nowNanos())) {
              sentMillis.add(nowMillis);
            }
          });
    }
  }

  private Random random;
  private long nowMillis;
  private boolean slowStore;
  private Map<String, String> stored;
  private List<Long> sentMillis;
  private PriorityQueue<Event> events;
  private List<Instance> instances;

  /**
   * Guards against a cold replica that gets more than it bears in sum: from instances that do not
   * know each other, were cut off from the store, stood still, or have just started.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 22, 100, 300})
  void fleetKeepsToBoundWhateverItsInstancesKnowOfEachOther(int size) {
    int most = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      play(size, seed, true);
      most = Math.max(most, mostInSecond());
      assertThat(
          size + " instances, seed " + seed, mostInSecond(), lessThanOrEqualTo(MOST_PER_SECOND));
    }
    assertThat("the bound was put to the test", most, greaterThanOrEqualTo((int) COLD_PER_SECOND));
  }

  /** Guards against a bound of which most is left unused while nothing happens to the instances. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 22, 100, 300})
  void calmFleetSendsMostOfWhatTheReplicaTolerates(int size) {
    play(size, 1, false);
    long later = sentMillis.stream().filter(at -> at >= PLAYED_MILLIS / 2).count();
    double tolerated = COLD_PER_SECOND * PLAYED_MILLIS / 2 / 1_000;
    assertThat((double) later, greaterThanOrEqualTo(0.6 * tolerated));
  }

  private void play(int size, int seed, boolean disturbed) {
    random = new Random(seed * 1_000_003L + size);
    nowMillis = 1_000_000;
    slowStore = false;
    stored = new HashMap<>();
    sentMillis = new ArrayList<>();
    events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    instances = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      instances.add(new Instance("edge-" + i));
    }
    long startMillis = nowMillis;
    while (nowMillis - startMillis < PLAYED_MILLIS) {
      nowMillis += TICK_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.poll().action().run();
      }
      if (disturbed && random.nextDouble() < size * TICK_MILLIS / CALM_MILLIS) {
        disturb(size);
      }
      for (int i = 0; i < Math.min(2 * instances.size(), REQUESTS_PER_TICK); i++) {
        Instance instance = instances.get(random.nextInt(instances.size()));
        instance.limit.warmUp().onPossibleStart(nowNanos());
        instance.trySend();
      }
    }
    sentMillis.replaceAll(at -> at - startMillis);
  }

  /** Brings one disturbance about, of one instance or of a share of the fleet. */
  private void disturb(int size) {
    int affected = random.nextInt(4 * size) == 0 ? 1 + random.nextInt(size) : 1;
    int kind = random.nextInt(5);
    for (int i = 0; i < affected; i++) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      switch (kind) {
        case 0 -> instance.cutUntilMillis = nowMillis + random.nextInt(30_000);
        case 1 -> instance.frozenUntilMillis = nowMillis + random.nextInt(8_000);
        case 2 -> instance.start();
        case 3 -> slowStore = random.nextBoolean();
        default -> {
          if (instances.size() < size + size / 4 + 1) {
            instances.add(new Instance("edge-" + instances.size()));
          }
        }
      }
    }
  }

  private long latency() {
    return slowStore ? random.nextInt(4_000) : 1 + random.nextInt(10);
  }

  private long nowNanos() {
    return nowMillis * MILLI;
  }

  /** Returns whether a heartbeat was written by a later start, or later by the same one. */
  private static boolean isLater(String now, String before) {
    String[] left = now.split(" ", -1);
    String[] right = before.split(" ", -1);
    int boots = Integer.compare(Integer.parseInt(left[0]), Integer.parseInt(right[0]));
    return boots > 0 || (boots == 0 && Integer.parseInt(left[1]) > Integer.parseInt(right[1]));
  }

  private int mostInSecond() {
    List<Long> times = sentMillis.stream().sorted().toList();
    int most = 0;
    int first = 0;
    for (int i = 0; i < times.size(); i++) {
      while (times.get(first) <= times.get(i) - 1_000) {
        first++;
      }
      most = Math.max(most, i - first + 1);
    }
    return most;
  }
}
