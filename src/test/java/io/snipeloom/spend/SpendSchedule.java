package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Runs several instances against one ledger through a random schedule determined by a seed. The
 * schedule contains requests, outages, lost responses, kills of one or all instances, freezes,
 * top-ups and graceful shutdowns.
 */
final class SpendSchedule {
  private static final int STEPS = 600;
  private static final long STEP_NANOS = 20_000_000L;
  private static final int COPY_INTERVAL_STEPS = 10;

  /** How long all instances know of an older copy before one of them is killed. */
  private static final int SETTLED_STEPS = 150;

  private static final CustomerId CUSTOMER = CustomerId.of("customer");
  static final SpendEvents NO_OP_EVENTS =
      new SpendEvents() {
        @Override
        public void onGranted(CustomerId id, long tokens, long claimedTokens, long limit) {}

        @Override
        public void onReturned(CustomerId id, long tokens) {}

        @Override
        public void onClaimLost(CustomerId id, long tokens) {}

        @Override
        public void onBorrowed(CustomerId id, long tokens) {}

        @Override
        public void onLent(CustomerId id, long tokens) {}

        @Override
        public void onPredecessor(String writer, long ageNanos, boolean sameClock) {}

        @Override
        public void onInherited(CustomerId id, long tokens) {}
      };

  private final Random random;
  private final ScheduledLedgerStore store;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<Instance, Integer> frozenSteps = new HashMap<>();
  private long now;
  private long limit = 200_000;
  private long consumed;
  private int refused;
  private int served;
  private int starts;
  private long lent;
  private boolean reverts;
  private int reversions;
  private int stepsSinceAllKnowEra;
  private final List<Runnable> messages = new ArrayList<>();

  private final class Instance {
    final ScheduledLedgerStore.View view = store.view();
    final String slot;
    final String boot;
    final SpendControl control;
    boolean dead;

    Instance(String slot, String boot) {
      this.slot = slot;
      this.boot = boot;
      control =
          new SpendControl(
              "writer-" + starts++,
              new MachineClock(boot, 0),
              now,
              view,
              view.usage(slot),
              3,
              new ClaimPolicy(10, 3),
              this::borrow,
              NO_OP_EVENTS);
      control.changeLimit(CUSTOMER, limit);
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
          now,
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
          now,
          now + 400_000_000L,
          outcome -> {
            if (outcome != ReserveOutcome.RESERVED) {
              refused++;
            } else if (!dead) {
              consumed += usedTokens;
              served++;
              control.settle(CUSTOMER, maxTokens, usedTokens, now);
            }
          });
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
   * Returns a schedule in which the store also comes back from older copies of itself. No instance
   * is killed from the copy until all have known of it for a while.
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
          instance.control.tick(now);
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
    boolean allKnow =
        !store.isOutage()
            && instances.stream().allMatch(instance -> instance.view.era() == store.era());
    stepsSinceAllKnowEra = allKnow ? stepsSinceAllKnowEra + 1 : 0;
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
      target.control.returnAll(now);
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
    boolean reboot = random.nextInt(8) == 0;
    instances.add(new Instance(instance.slot, reboot ? "boot-" + starts : instance.boot));
  }
}
