package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Simulates the load of one customer on several instances, determined by a seed: prompts of widely
 * varying sizes, a store that responds immediately or not at all, and restarts.
 */
final class SpendLoad {
  private static final CustomerId CUSTOMER = CustomerId.of("customer");
  private static final long STEP_NANOS = 10_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final double MEAN_TOKENS = 8_000;
  private static final double LOG_SIZE_DEVIATION = 1;
  private static final int MAX_LENDERS = 3;
  private static final long REQUEST_DURATION_NANOS = NANOS_PER_SECOND;

  private static final long CLOCK_ROUND_TRIP_NANOS = 10_000_000L;
  private static final int CLOCK_INTERVAL_STEPS = 50;

  /** The time from the boot of a machine to the start of the instance on it. */
  private static final long BOOT_NANOS = 300_000_000L;

  private final Random random;
  private final long limit;
  private final boolean lendingEnabled;
  private final List<LedgerRecord> ledger = new ArrayList<>();
  private final Map<String, UsageReport> reports = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
  private final double[] requestsPerSecond;
  private final long[] roundTripNanos;
  private int ledgerWrites;
  private long reportsEnd;
  private final boolean holdersKnown;
  private boolean outage;
  private long now = 100 * NANOS_PER_SECOND;
  private long consumed;
  private long unsettled;
  private long strandedUnsettled;
  private int served;
  private int refused;

  private record ScheduledTask(long atNanos, Runnable task) {}

  SpendLoad(long seed, long limit, boolean lendingEnabled, double... requestsPerSecond) {
    this(seed, limit, lendingEnabled, true, requestsPerSecond);
  }

  private SpendLoad(
      long seed,
      long limit,
      boolean lendingEnabled,
      boolean holdersKnown,
      double... requestsPerSecond) {
    this.holdersKnown = holdersKnown;
    this.random = new Random(seed);
    this.limit = limit;
    this.lendingEnabled = lendingEnabled;
    this.requestsPerSecond = requestsPerSecond;
    this.roundTripNanos = new long[requestsPerSecond.length];
    for (int i = 0; i < requestsPerSecond.length; i++) {
      instances.add(new Instance(i));
    }
  }

  /** Creates a load on instances that do not agree on who claims ahead for the fleet. */
  static SpendLoad withoutHolders(long seed, long limit, double... requestsPerSecond) {
    return new SpendLoad(seed, limit, true, false, requestsPerSecond);
  }

  /** Sets how long each instance waits for responses of the ledger; they are immediate at first. */
  void setRoundTrip(int instance, long millis) {
    roundTripNanos[instance] = TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Changes how many requests a second arrive at an instance. */
  void setRate(int instance, double rate) {
    requestsPerSecond[instance] = rate;
  }

  /** Returns the number of writes that the ledger accepted since the start. */
  int ledgerWrites() {
    return ledgerWrites;
  }

  /** Runs the simulation for the given time. */
  void run(double seconds) {
    long end = now + (long) (seconds * NANOS_PER_SECOND);
    while (now < end) {
      now += STEP_NANOS;
      while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atNanos() <= now) {
        scheduledTasks.poll().task().run();
      }
      for (Instance instance : List.copyOf(instances)) {
        if (random.nextDouble()
            < requestsPerSecond[instance.number] * STEP_NANOS / NANOS_PER_SECOND) {
          instance.request();
        }
        if ((now / STEP_NANOS + instance.number) % CLOCK_INTERVAL_STEPS == 0) {
          instance.readClocks();
        }
        instance.control.tick(instance.local());
      }
    }
  }

  void setOutage(boolean active) {
    outage = active;
    instances.forEach(instance -> instance.control.setStoreAvailable(!active));
  }

  /** Kills all instances and starts them again after a delay, optionally with a new boot ID. */
  void restartAll(double downSeconds, boolean reboot) {
    instances.forEach(instance -> instance.dead = true);
    instances.clear();
    now += (long) (downSeconds * NANOS_PER_SECOND);
    for (int i = 0; i < requestsPerSecond.length; i++) {
      instances.add(new Instance(i, reboot ? "another boot" : "boot"));
    }
  }

  /** Cuts the power of all machines for a time, after which their monotonic clocks start anew. */
  void losePowerOfAll(double downSeconds) {
    now += (long) (downSeconds * NANOS_PER_SECOND);
    List.copyOf(instances).forEach(instance -> replace(instance, now - BOOT_NANOS));
  }

  /** Kills the processes of all instances at once, which start again after a delay. */
  void killAll(double downSeconds) {
    now += (long) (downSeconds * NANOS_PER_SECOND);
    List.copyOf(instances).forEach(instance -> replace(instance, instance.bootNanos));
  }

  /** Kills the processes of all instances one after the other while the others run. */
  void killOneByOne(double downSeconds, double pauseSeconds) {
    for (Instance instance : List.copyOf(instances)) {
      kill(instance);
      scheduledTasks.add(
          new ScheduledTask(
              now + (long) (downSeconds * NANOS_PER_SECOND),
              () -> instances.add(new Instance(instance.number, "boot", instance.bootNanos))));
      run(pauseSeconds);
    }
    run(downSeconds);
  }

  private void replace(Instance instance, long bootNanos) {
    kill(instance);
    instances.add(new Instance(instance.number, "boot", bootNanos));
  }

  private void kill(Instance instance) {
    instance.dead = true;
    instances.remove(instance);
  }

  /** Makes all instances return the tokens that they hold, as before a graceful shutdown. */
  void stopAll() {
    instances.forEach(instance -> instance.control.returnAll(instance.local()));
  }

  /** Resets the counts of served and refused requests. */
  void resetCounts() {
    served = 0;
    refused = 0;
  }

  double refusedShare() {
    return (double) refused / Math.max(1, served + refused);
  }

  long consumed() {
    return consumed;
  }

  /**
   * Returns the claimed tokens that were neither consumed nor are available to an instance, as a
   * share of the prepaid total.
   */
  double strandedShare() {
    long claimed = ledger.isEmpty() ? 0 : ledger.get(ledger.size() - 1).claimedTokens();
    return (double) (claimed - consumed) / limit - heldShare();
  }

  /**
   * Returns the tokens that were reserved beyond their use by requests whose instance ended before
   * it could settle them, as a share of the prepaid total.
   */
  double strandedUnsettledShare() {
    return (double) strandedUnsettled / limit;
  }

  /** Returns the tokens that running requests have reserved beyond their use, as a share. */
  double unsettledShare() {
    return (double) unsettled / limit;
  }

  /** Returns the tokens available to the instances, as a share of the prepaid total. */
  double heldShare() {
    long heldTokens =
        instances.stream()
            .mapToLong(i -> i.control.status(CUSTOMER, i.local()).availableTokens())
            .sum();
    return (double) heldTokens / limit;
  }

  private long randomRequestTokens() {
    double logSize =
        random.nextGaussian() * LOG_SIZE_DEVIATION - LOG_SIZE_DEVIATION * LOG_SIZE_DEVIATION / 2;
    return (long) (MEAN_TOKENS * Math.exp(logSize)) + 100;
  }

  private final class Instance implements LedgerStore, UsageStore, LoanPeers {
    @Override
    public void onEra(long era) {}

    @Override
    public long era() {
      return 0;
    }

    final int number;
    final long bootNanos;
    final FleetClock fleetClock;
    final SpendControl control;
    boolean dead;

    Instance(int number) {
      this(number, "boot");
    }

    Instance(int number, String boot) {
      this(number, boot, 0);
    }

    Instance(int number, String boot, long bootNanos) {
      this.number = number;
      this.bootNanos = bootNanos;
      this.fleetClock = new FleetClock(name(), this::wallOffsetMillis);
      this.control =
          new SpendControl(
              "writer-" + number + "-" + now,
              new MachineClock(boot, wallOffsetMillis()),
              name(),
              fleetClock,
              local(),
              this,
              this,
              1,
              new ClaimPolicy(10, requestsPerSecond.length),
              lendingEnabled ? this : LoanPeers.NONE,
              ClaimPeers.NONE,
              SpendSchedule.NO_OP_EVENTS);
      if (holdersKnown) {
        control.changeHolders(holders());
      }
      control.changeLimit(CUSTOMER, limit);
    }

    /** Returns the monotonic time of the machine. */
    long local() {
      return now - bootNanos;
    }

    /** Returns the time of day, which is the simulated time, less the monotonic time. */
    long wallOffsetMillis() {
      return TimeUnit.NANOSECONDS.toMillis(bootNanos);
    }

    /** Reads the clocks of some other instances. */
    void readClocks() {
      for (int i = 1; i < Math.min(FleetClock.MAX_CLOCKS, requestsPerSecond.length); i++) {
        String other = "edge-" + (number + i) % requestsPerSecond.length;
        long sentNanos = local() - CLOCK_ROUND_TRIP_NANOS;
        fleetClock.onResponse(other, TimeUnit.NANOSECONDS.toMillis(now), sentNanos, local());
      }
    }

    void request() {
      long maxTokens = randomRequestTokens();
      long usedTokens = maxTokens * 8 / 10;
      control.reserve(
          CUSTOMER,
          maxTokens,
          local(),
          outage ? local() : local() + 400_000_000L,
          outcome -> {
            if (outcome != ReserveOutcome.RESERVED) {
              refused++;
              return;
            }
            served++;
            consumed += usedTokens;
            unsettled += maxTokens - usedTokens;
            scheduledTasks.add(
                new ScheduledTask(
                    now + REQUEST_DURATION_NANOS, () -> settle(maxTokens, usedTokens)));
          });
    }

    private void settle(long maxTokens, long usedTokens) {
      unsettled -= maxTokens - usedTokens;
      if (dead) {
        strandedUnsettled += maxTokens - usedTokens;
      } else {
        control.settle(CUSTOMER, maxTokens, usedTokens, local());
      }
    }

    /** Returns the instances asked for a loan: all of a small fleet, else three, holders first. */
    private List<Instance> lenders() {
      List<Instance> others = new ArrayList<>(instances);
      others.remove(this);
      if (others.size() < CustomerHolders.MAX_EVEN_FLEET) {
        return others;
      }
      Collections.shuffle(others, random);
      List<String> holders = holdersKnown ? holders().othersOf(CUSTOMER) : List.of();
      others.sort(Comparator.comparing((Instance other) -> !holders.contains(other.name())));
      return others.subList(0, MAX_LENDERS);
    }

    private CustomerHolders holders() {
      Set<String> others = new HashSet<>();
      for (int i = 0; i < requestsPerSecond.length; i++) {
        if (i != number) {
          others.add("edge-" + i);
        }
      }
      return new CustomerHolders(name(), others);
    }

    private String name() {
      return "edge-" + number;
    }

    @Override
    public void borrow(LoanRequest request, Listener listener) {
      List<Instance> lenders = lenders();
      boolean oneByOne = holdersKnown && lenders.size() < instances.size() - 1;
      long[] missing = {request.missingTokens()};
      for (Instance other : lenders) {
        if (oneByOne && missing[0] <= 0) {
          break;
        }
        LoanRequest next = oneByOne ? request.less(request.missingTokens() - missing[0]) : request;
        other.control.lend(
            next,
            other.local(),
            tokens -> {
              if (tokens > 0) {
                missing[0] -= tokens;
                listener.onLent(tokens);
              }
            });
      }
      listener.onDone();
    }

    @Override
    public void list(int partition, PageListener listener) {
      read(partition, 0, listener);
    }

    @Override
    public void read(int partition, long from, PageListener listener) {
      call(() -> readNow(from, listener));
    }

    /** Makes a call of the ledger, whose outcome is passed on by the task that it returns. */
    private void call(Supplier<Runnable> call) {
      long roundTrip = roundTripNanos[number];
      if (roundTrip == 0) {
        call.get().run();
        return;
      }
      long arrival = now + roundTrip / 2;
      scheduledTasks.add(
          new ScheduledTask(
              arrival,
              () -> {
                Runnable outcome = call.get();
                scheduledTasks.add(new ScheduledTask(arrival + roundTrip / 2, outcome));
              }));
    }

    private Runnable appendNow(long at, List<LedgerRecord> records, AppendListener listener) {
      if (outage) {
        return listener::onUnknown;
      }
      if (at != ledger.size()) {
        return listener::onConflict;
      }
      ledger.addAll(records);
      ledgerWrites++;
      return listener::onAppended;
    }

    private Runnable readNow(long from, PageListener listener) {
      if (outage) {
        return listener::onFailed;
      }
      LedgerPage page =
          new LedgerPage(List.copyOf(ledger.subList((int) from, ledger.size())), ledger.size());
      return () -> listener.onPage(page);
    }

    @Override
    public void newest(NewestListener listener) {
      if (outage) {
        listener.onFailed();
        return;
      }
      listener.onReport(Optional.ofNullable(reports.get("slot-" + number)), reportsEnd);
    }

    @Override
    public void append(
        int partition, long at, List<LedgerRecord> records, AppendListener listener) {
      call(() -> appendNow(at, records, listener));
    }

    @Override
    public void append(long at, UsageReport report, AppendListener listener) {
      if (outage) {
        listener.onUnknown();
      } else if (at != reportsEnd) {
        listener.onConflict();
      } else {
        reports.put("slot-" + number, report);
        reportsEnd++;
        listener.onAppended();
      }
    }
  }
}
