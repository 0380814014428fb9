package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * The load of one customer on a few instances by a seed: prompts of very different sizes, a store
 * that answers at once or not at all, and restarts.
 */
final class SpendLoad {
  private static final CustomerId CUSTOMER = CustomerId.of("customer");
  private static final long STEP_NANOS = 10_000_000L;
  private static final long SECOND = 1_000_000_000L;
  private static final double MEAN_TOKENS = 8_000;
  private static final double SIZE_SPREAD = 1;
  private static final long RUN_NANOS = SECOND;

  private final Random random;
  private final long limit;
  private final boolean lends;
  private final List<LedgerRecord> ledger = new ArrayList<>();
  private final Map<String, UsageReport> reports = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
  private final double[] requestsPerSecond;
  private long reportsEnd;
  private boolean away;
  private long now = 100 * SECOND;
  private long consumed;
  private int served;
  private int refused;

  private record Due(long atNanos, Runnable task) {}

  SpendLoad(long seed, long limit, boolean lends, double... requestsPerSecond) {
    this.random = new Random(seed);
    this.limit = limit;
    this.lends = lends;
    this.requestsPerSecond = requestsPerSecond;
    for (int i = 0; i < requestsPerSecond.length; i++) {
      instances.add(new Instance(i));
    }
  }

  /** Lets time pass. */
  void run(double seconds) {
    long end = now + (long) (seconds * SECOND);
    while (now < end) {
      now += STEP_NANOS;
      while (!due.isEmpty() && due.peek().atNanos() <= now) {
        due.poll().task().run();
      }
      for (Instance instance : instances) {
        if (random.nextDouble() < requestsPerSecond[instance.number] * STEP_NANOS / SECOND) {
          instance.request();
        }
        instance.control.tick(now);
      }
    }
  }

  void storeAway(boolean isAway) {
    away = isAway;
  }

  /** Kills all instances and starts them again after a while, as by a restart of everything. */
  void restartAll(double downSeconds, boolean reboot) {
    instances.forEach(instance -> instance.dead = true);
    instances.clear();
    now += (long) (downSeconds * SECOND);
    for (int i = 0; i < requestsPerSecond.length; i++) {
      instances.add(new Instance(i, reboot ? "another boot" : "boot"));
    }
  }

  /** Asks all instances to return what they hold, as before an orderly stop. */
  void stopAll() {
    instances.forEach(instance -> instance.control.returnAll(now));
  }

  /** Forgets what was counted so far. */
  void countAnew() {
    served = 0;
    refused = 0;
  }

  double refusedShare() {
    return (double) refused / Math.max(1, served + refused);
  }

  long consumed() {
    return consumed;
  }

  /** Returns what no instance has in hand and nobody consumed, as a share of the total. */
  double strandedShare() {
    long claimed = ledger.isEmpty() ? 0 : ledger.get(ledger.size() - 1).claimedTokens();
    return (double) (claimed - consumed) / limit - heldShare();
  }

  /** Returns what the instances have in hand, as a share of the total. */
  double heldShare() {
    long inHand =
        instances.stream().mapToLong(i -> i.control.status(CUSTOMER, now).availableTokens()).sum();
    return (double) inHand / limit;
  }

  private long size() {
    double logSize = random.nextGaussian() * SIZE_SPREAD - SIZE_SPREAD * SIZE_SPREAD / 2;
    return (long) (MEAN_TOKENS * Math.exp(logSize)) + 100;
  }

  private final class Instance implements LedgerStore, UsageStore, LoanPeers {
    final int number;
    final SpendControl control;
    boolean dead;

    Instance(int number) {
      this(number, "boot");
    }

    Instance(int number, String boot) {
      this.number = number;
      this.control =
          new SpendControl(
              "writer-" + number + "-" + now,
              new MachineClock(boot, 0),
              now,
              this,
              this,
              1,
              new ClaimPolicy(10, requestsPerSecond.length),
              lends ? this : LoanPeers.NONE,
              SpendSchedule.QUIET);
      control.limit(CUSTOMER, limit);
    }

    void request() {
      long most = size();
      long used = most * 8 / 10;
      control.reserve(
          CUSTOMER,
          most,
          now,
          away ? now : now + 400_000_000L,
          outcome -> {
            if (outcome != ReserveOutcome.RESERVED) {
              refused++;
              return;
            }
            served++;
            consumed += used;
            due.add(new Due(now + RUN_NANOS, () -> settle(most, used)));
          });
    }

    private void settle(long most, long used) {
      if (!dead) {
        control.settle(CUSTOMER, most, used, now);
      }
    }

    @Override
    public void borrow(LoanRequest request, Listener listener) {
      for (Instance other : List.copyOf(instances)) {
        if (other != this) {
          other.control.lend(
              request,
              now,
              tokens -> {
                if (tokens > 0) {
                  listener.onLent(tokens);
                }
              });
        }
      }
      listener.onDone();
    }

    @Override
    public void list(int partition, PageListener listener) {
      read(partition, 0, listener);
    }

    @Override
    public void read(int partition, long from, PageListener listener) {
      if (away) {
        listener.onFailed();
        return;
      }
      listener.onPage(new LedgerPage(ledger.subList((int) from, ledger.size()), ledger.size()));
    }

    @Override
    public void newest(NewestListener listener) {
      if (away) {
        listener.onFailed();
        return;
      }
      listener.onReport(Optional.ofNullable(reports.get("slot-" + number)), reportsEnd);
    }

    @Override
    public void append(
        int partition, long at, List<LedgerRecord> records, AppendListener listener) {
      if (away) {
        listener.onUnknown();
      } else if (at != ledger.size()) {
        listener.onConflict();
      } else {
        ledger.addAll(records);
        listener.onAppended();
      }
    }

    @Override
    public void append(long at, UsageReport report, AppendListener listener) {
      if (away) {
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
