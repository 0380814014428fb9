package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs several instances against one ledger through a random schedule determined by a seed. The
 * schedule contains requests, outages, lost responses, kills of one or all instances, freezes,
 * top-ups and graceful shutdowns.
 */
final class SpendSchedule {
  /** The prepaid total at first. */
  static final long FIRST_LIMIT = 200_000;

  private static final int STEPS = 600;
  private static final long STEP_NANOS = 20_000_000L;
  private static final int COPY_INTERVAL_STEPS = 10;

  private static final int MAX_STEP_MILLIS = 4_000;

  /** The time from the boot of a machine to the start of the instance on it. */
  private static final long BOOT_NANOS = 300_000_000L;

  /** How long all instances know of an older copy before one of them is killed. */
  private static final int SETTLED_STEPS = 150;

  /** The longest time for which the store turns one instance away: 8 s. */
  private static final int MAX_TURNED_AWAY_STEPS = 400;

  private static final CustomerId CUSTOMER = CustomerId.of("customer");
  static final SpendEvents NO_OP_EVENTS =
      new SpendEvents() {
        @Override
        public void onGranted(CustomerId id, long tokens, long claimedTokens, long limit) {}

        @Override
        public void onReturned(CustomerId id, long tokens) {}

        @Override
        public void onConflict(Set<CustomerId> customers, int failures) {}

        @Override
        public void onClaimLost(CustomerId id, long tokens) {}

        @Override
        public void onBorrowed(CustomerId id, long tokens) {}

        @Override
        public void onLent(CustomerId id, long tokens) {}

        @Override
        public void onPredecessor(String writer, long ageNanos, ElapsedBy by) {}

        @Override
        public void onInherited(CustomerId id, long tokens, long strandedTokens) {}

        @Override
        public void onStatus(CustomerId id, SpendStatus status) {}

        @Override
        public void onClaimsHeld(long era, Set<String> asked) {}

        @Override
        public void onClaimsResumed(long era, long heldNanos, Set<String> unheard) {}

        @Override
        public void onClaimRestored(CustomerId id, long claimedTokens) {}
      };

  private final Random random;
  private final ScheduledLedgerStore store;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<Instance, Integer> frozenSteps = new HashMap<>();
  private final Map<Instance, Integer> turnedAwaySteps = new HashMap<>();
  private long now;
  private final Map<String, Machine> machines = new HashMap<>();
  private long limit = FIRST_LIMIT;
  private long consumed;
  private int refused;
  private int served;
  private int starts;
  private int reboots;
  private long lent;
  private boolean reverts;
  private int reversions;
  private int stepsSinceAllKnowEra;
  private final List<Runnable> messages = new ArrayList<>();

  /** The clocks of the machine of one instance. */
  private static final class Machine {
    long bootNanos;
    long wallStepMillis;
  }

  private final class Instance {
    final ScheduledLedgerStore.View view = store.view();
    final String slot;
    final String boot;
    final long bootNanos;
    final FleetClock fleetClock;
    final SpendControl control;
    boolean dead;

    Instance(String slot, String boot) {
      this.slot = slot;
      this.boot = boot;
      this.bootNanos = machine().bootNanos;
      this.fleetClock = new FleetClock(slot, this::wallOffsetMillis);
      control =
          new SpendControl(
              "writer-" + starts++,
              new MachineClock(boot, wallOffsetMillis()),
              slot,
              fleetClock,
              local(),
              view,
              view.usage(slot),
              3,
              new ClaimPolicy(10, 3),
              this::borrow,
              new Claims(this),
              NO_OP_EVENTS);
      control.changeLimit(CUSTOMER, limit);
    }

    private Machine machine() {
      return machines.computeIfAbsent(slot, name -> new Machine());
    }

    /** Returns the monotonic time of the machine. */
    long local() {
      return now - bootNanos;
    }

    private long wallOffsetMillis() {
      return wallMillis() - TimeUnit.NANOSECONDS.toMillis(local());
    }

    private long wallMillis() {
      return TimeUnit.NANOSECONDS.toMillis(now) + machine().wallStepMillis;
    }

    /** Asks a random instance for its time of day; the messages take some steps or get lost. */
    void readClock() {
      Instance peer = instances.get(random.nextInt(instances.size()));
      long sentNanos = local();
      if (peer != this && random.nextInt(8) > 0) {
        later(() -> answerClock(peer, sentNanos));
      }
    }

    private void answerClock(Instance peer, long sentNanos) {
      if (peer.dead) {
        return;
      }
      long wallMillis = peer.wallMillis();
      later(() -> fleetClock.onResponse(peer.slot, wallMillis, sentNanos, local()));
    }

    /** Requests a loan from a random instance; the messages take some steps or get lost. */
    private void borrow(LoanRequest request, LoanPeers.Listener listener) {
      Instance peer = instances.get(random.nextInt(instances.size()));
      if (peer == this || random.nextInt(5) == 0) {
        later(listener::onDone);
        return;
      }
      later(() -> requestLoan(peer, request, listener));
    }

    private void requestLoan(Instance peer, LoanRequest request, LoanPeers.Listener listener) {
      if (peer.dead || frozenSteps.getOrDefault(peer, 0) > 0) {
        later(listener::onDone);
        return;
      }
      peer.control.lend(
          request,
          peer.local(),
          tokens -> {
            boolean lost = random.nextInt(8) == 0;
            later(
                () -> {
                  if (!dead && !lost && tokens > 0) {
                    lent += tokens;
                    listener.onLent(tokens);
                  }
                  if (!dead) {
                    listener.onDone();
                  }
                });
          });
    }

    void request() {
      long maxTokens = 500L + random.nextInt(8_000);
      long usedTokens = random.nextInt((int) maxTokens + 1);
      control.reserve(
          CUSTOMER,
          maxTokens,
          local(),
          local() + 400_000_000L,
          outcome -> {
            if (outcome != ReserveOutcome.RESERVED) {
              refused++;
            } else if (!dead) {
              consumed += usedTokens;
              served++;
              control.settle(CUSTOMER, maxTokens, usedTokens, local());
            }
          });
    }
  }

  /** Carries claims between instances; the messages take some steps or get lost. */
  private final class Claims implements ClaimPeers {
    private final Instance self;

    Claims(Instance self) {
      this.self = self;
    }

    @Override
    public Set<String> names() {
      return others().map(peer -> peer.slot).collect(Collectors.toSet());
    }

    private Stream<Instance> others() {
      return instances.stream().filter(peer -> !peer.slot.equals(self.slot));
    }

    @Override
    public void ask(String name, long era, Consumer<List<CustomerPart>> listener) {
      deliverTo(name, peer -> answer(peer, era, listener));
    }

    private void answer(Instance peer, long era, Consumer<List<CustomerPart>> listener) {
      List<CustomerPart> parts = peer.control.tellClaims(era, peer.local());
      deliverTo(self.slot, asker -> listener.accept(parts));
    }

    @Override
    public void tell(List<CustomerPart> parts) {
      names().forEach(name -> deliverTo(name, peer -> peer.control.onNotice(parts, peer.local())));
    }

    private void deliverTo(String name, Consumer<Instance> message) {
      if (random.nextInt(8) == 0) {
        return;
      }
      later(
          () ->
              instances.stream()
                  .filter(peer -> peer.slot.equals(name))
                  .filter(peer -> frozenSteps.getOrDefault(peer, 0) <= 0)
                  .findFirst()
                  .ifPresent(message));
    }
  }

  SpendSchedule(long seed, boolean checksOffset) {
    this(seed, checksOffset, false);
  }

  SpendSchedule(long seed, boolean checksOffset, boolean hidesUsageAllowance) {
    random = new Random(seed);
    store = new ScheduledLedgerStore(random, checksOffset);
    if (hidesUsageAllowance) {
      store.hideUsageAllowance();
    }
    for (int i = 0; i < 3; i++) {
      instances.add(new Instance("slot-" + i, "boot"));
    }
  }

  /**
   * Returns a schedule in which the store also comes back from older copies of itself, and turns
   * single instances away for seconds, also after its return. No instance is killed from the copy
   * until all have known of it for a while.
   */
  static SpendSchedule withReversions(long seed) {
    SpendSchedule schedule = new SpendSchedule(seed, true);
    schedule.reverts = true;
    schedule.store.dropCopies();
    return schedule;
  }

  /**
   * Runs the schedule and returns the largest number of tokens that were consumed beyond the
   * prepaid total at any step.
   */
  long overspend() {
    long maxOverspend = 0;
    for (int i = 0; i < STEPS; i++) {
      now += STEP_NANOS;
      injectRandomEvent();
      if (reverts) {
        revertAtRandom(i);
      }
      for (Instance instance : List.copyOf(instances)) {
        if (frozenSteps.merge(instance, -1, Integer::sum) < 0) {
          if (random.nextInt(3) == 0) {
            instance.request();
          }
          instance.readClock();
          instance.control.tick(instance.local());
        }
      }
      store.step();
      store.step();
      store.step();
      deliver();
      maxOverspend = Math.max(maxOverspend, consumed - limit);
    }
    return Math.max(0, maxOverspend);
  }

  private void revertAtRandom(int step) {
    if (step % COPY_INTERVAL_STEPS == 0) {
      store.copy();
    }
    if (random.nextInt(300) == 0) {
      store.restore(random.nextInt(20));
      reversions++;
    }
    instances.forEach(
        instance -> instance.view.turnAway(turnedAwaySteps.merge(instance, -1, Integer::sum) >= 0));
    boolean allKnow =
        !store.isOutage()
            && instances.stream().allMatch(instance -> instance.view.era() == store.era());
    stepsSinceAllKnowEra = allKnow ? stepsSinceAllKnowEra + 1 : 0;
  }

  /** Returns the tokens that the ledger shows as claimed beyond the prepaid total. */
  long claimedBeyondTotal() {
    return Math.max(0, store.claimed(CUSTOMER) - limit);
  }

  int reversions() {
    return reversions;
  }

  private void later(Runnable message) {
    messages.add(message);
  }

  private void deliver() {
    for (Runnable message : List.copyOf(messages)) {
      if (random.nextInt(3) > 0) {
        messages.remove(message);
        message.run();
      }
    }
  }

  long lent() {
    return lent;
  }

  int reboots() {
    return reboots;
  }

  int served() {
    return served;
  }

  int refused() {
    return refused;
  }

  private void injectRandomEvent() {
    int draw = random.nextInt(200);
    Instance target = instances.get(random.nextInt(instances.size()));
    if (draw == 0) {
      restart(target);
    } else if (draw == 1 && random.nextInt(4) == 0) {
      List.copyOf(instances).forEach(this::restart);
    } else if (draw == 2) {
      frozenSteps.put(target, random.nextInt(60));
    } else if (draw == 3) {
      store.setOutage(true);
    } else if (draw < 8) {
      store.setOutage(false);
    } else if (draw == 8) {
      limit += 5_000;
      instances.forEach(instance -> instance.control.changeLimit(CUSTOMER, limit));
    } else if (draw == 9) {
      target.control.returnAll(target.local());
    } else if (draw == 10) {
      stepClock(target);
    } else if (draw == 11 && reverts) {
      turnedAwaySteps.put(target, random.nextInt(MAX_TURNED_AWAY_STEPS));
    }
  }

  /** Sets the time of day of one machine wrong, or right again. */
  private void stepClock(Instance instance) {
    Machine machine = machines.get(instance.slot);
    boolean right = machines.values().stream().allMatch(other -> other.wallStepMillis == 0);
    if (machine.wallStepMillis != 0) {
      machine.wallStepMillis = 0;
    } else if (right) {
      machine.wallStepMillis = (long) random.nextInt(2 * MAX_STEP_MILLIS + 1) - MAX_STEP_MILLIS;
    }
  }

  private void restart(Instance instance) {
    if (reverts) {
      if (reversions > 0 && stepsSinceAllKnowEra < SETTLED_STEPS) {
        return;
      }
      store.dropCopies();
    }
    instance.dead = true;
    instance.view.kill();
    instances.remove(instance);
    int reboot = random.nextInt(8);
    if (reboot < 4) {
      machines.get(instance.slot).bootNanos = now - BOOT_NANOS;
      reboots++;
    }
    instances.add(new Instance(instance.slot, reboot == 0 ? "boot-" + starts : instance.boot));
  }
}
