package io.snipeloom.coordination;

import io.snipeloom.state.Budget;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationEdit;
import io.snipeloom.state.Customer;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SmallStateFactory;
import io.snipeloom.state.SnapshotAssembler;
import io.snipeloom.state.SpendPolicy;
import io.snipeloom.state.TopUp;
import io.snipeloom.state.TopUpId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;

/**
 * A simulation of a few routers and sidecars that share a log. A seed determines the requests and
 * the faults.
 */
final class ScheduleSimulation {
  private static final long STEP_NANOS = 200_000_000;
  private static final int STEPS = 160;
  private static final int RECOVERY_ROUNDS = 24;
  private static final int SLOTS = 3;
  private static final long MAX_TOKENS_PER_REQUEST = 60;
  private static final int MAX_SUPERSEDED = 3;

  final SplittableRandom random;
  final SmallStateFactory stateFactory;
  final ScheduleOracle oracle;
  final ScheduleLog log;
  long nowNanos;
  private final OperatorNode operatorNode;
  private final ScheduleRouter[] routers = new ScheduleRouter[SLOTS];
  private final ScheduleSidecar[] sidecars = new ScheduleSidecar[SLOTS];
  private final List<ScheduleNode> superseded = new ArrayList<>();
  private final List<RequestKey> keys = new ArrayList<>();
  private final List<Incarnation> holders = new ArrayList<>();
  private int incarnations;
  private int topUps;

  ScheduleSimulation(long seed, String guard) {
    this.random = new SplittableRandom(seed);
    this.stateFactory = SmallStateFactory.without(guard);
    this.oracle = new ScheduleOracle(stateFactory.empty());
    this.log = new ScheduleLog(oracle::onAppend);
    this.operatorNode = new OperatorNode(this);
    putBudgets();
    topUp();
    topUp();
    for (int slot = 0; slot < SLOTS; slot++) {
      routers[slot] = newRouter(slot);
      sidecars[slot] = newSidecar(slot);
    }
  }

  void run() {
    for (int step = 0; step < STEPS; step++) {
      nowNanos += STEP_NANOS;
      performAction(random.nextInt(100));
      tickAll();
    }
    recover();
    nodes().forEach(oracle::compareFinalState);
    oracle.checkBills();
  }

  /** Returns the sidecar with an incarnation, or null if it has stopped or is unreachable. */
  ScheduleSidecar reachableSidecar(Incarnation id) {
    for (ScheduleNode node : nodes()) {
      if (node instanceof ScheduleSidecar sidecar && sidecar.id.equals(id)) {
        boolean reachable =
            !sidecar.isStopped() && !sidecar.paused && !sidecar.disconnectedFromPeers;
        return reachable ? sidecar : null;
      }
    }
    return null;
  }

  private void performAction(int action) {
    int slot = random.nextInt(SLOTS);
    if (action < 40) {
      newRequest(routers[slot]);
      newRequest(routers[slot]);
    } else if (action < 50) {
      repeatRequest(routers[slot]);
    } else if (action < 53) {
      topUp();
    } else if (action < 60) {
      ScheduleNode node = anyNode();
      node.paused = random.nextInt(3) == 0;
    } else if (action < 66) {
      ScheduleNode node = anyNode();
      node.disconnectedFromLog = random.nextInt(3) == 0;
    } else if (action < 70) {
      ScheduleNode node = anyNode();
      node.disconnectedFromPeers = random.nextInt(3) == 0;
    } else if (action < 73) {
      replaceRouter(slot, random.nextBoolean());
    } else if (action < 76) {
      replaceSidecar(slot, random.nextInt(3));
    } else if (action < 78) {
      sidecars[slot].leave();
    } else if (action < 80) {
      routers[slot].stop();
    } else {
      performLogAction(action);
    }
  }

  private void performLogAction(int action) {
    if (action < 84) {
      Incarnation holder = holders.get(random.nextInt(holders.size()));
      operatorNode.append(List.of(new DecisionRecord.HolderClosed(holder)));
    } else if (action < 86) {
      Incarnation holder = holders.get(random.nextInt(holders.size()));
      operatorNode.append(List.of(new DecisionRecord.HolderWrittenOff(holder, "op")));
    } else if (action < 88) {
      log.setDown(random.nextInt(4) == 0);
    } else if (action < 92) {
      if (log.duplicateCount() > 0) {
        log.appendDuplicate(random.nextInt(log.duplicateCount()));
      }
    } else if (action < 96) {
      operatorNode.writeSnapshot();
    } else if (action < 98) {
      log.dropBefore(oracle.state().latestSnapshotOffset() + 1);
    } else {
      log.dropBefore(log.firstRetained() + random.nextInt(30));
    }
  }

  private void newRequest(ScheduleRouter router) {
    UUID bits = new UUID(random.nextLong(), random.nextLong());
    long issuedAt = nowNanos / 1_000_000 - random.nextInt(500);
    keys.add(RequestKey.generate(CustomerId.of("c1"), Math.max(0, issuedAt), bits));
    request(router, keys.get(keys.size() - 1));
  }

  private void repeatRequest(ScheduleRouter router) {
    if (!keys.isEmpty()) {
      request(router, keys.get(random.nextInt(keys.size())));
    }
  }

  private void request(ScheduleRouter router, RequestKey key) {
    boolean repeatable = Math.floorMod(key.hashCode(), 2) == 0;
    BudgetId budget = budget(Math.floorMod(key.hashCode(), 3));
    router.request(key, budget, 1 + random.nextLong(MAX_TOKENS_PER_REQUEST), repeatable);
  }

  private static BudgetId budget(int choice) {
    return BudgetId.of(choice == 0 ? "b1" : "b2");
  }

  private void topUp() {
    BudgetId budget = budget(topUps % 2);
    topUps++;
    TopUp topUp = new TopUp(TopUpId.of("t" + topUps), budget, 200 + random.nextInt(400));
    change(List.of(new ConfigurationEdit.AddTopUp(topUp)));
  }

  private void putBudgets() {
    CustomerId customer = CustomerId.of("c1");
    change(
        List.of(
            new ConfigurationEdit.PutCustomer(
                new Customer(customer, "C", List.of(), null, SpendPolicy.TIGHT)),
            new ConfigurationEdit.PutBudget(new Budget(budget(0), customer)),
            new ConfigurationEdit.PutBudget(new Budget(budget(1), customer))));
  }

  private void change(List<ConfigurationEdit> edits) {
    long base = oracle.state().configuration().offset();
    operatorNode.append(
        List.of(
            new DecisionRecord.ConfigurationChanged(new ConfigurationChange(base, "op", edits))));
  }

  private ScheduleNode anyNode() {
    List<ScheduleNode> nodes = nodes();
    return nodes.get(random.nextInt(nodes.size()));
  }

  private List<ScheduleNode> nodes() {
    List<ScheduleNode> nodes = new ArrayList<>(superseded);
    nodes.addAll(List.of(routers));
    nodes.addAll(List.of(sidecars));
    return nodes;
  }

  private void tickAll() {
    operatorNode.tick();
    for (ScheduleNode node : nodes()) {
      if (random.nextInt(3) > 0) {
        node.tick();
      }
    }
    for (int slot = 0; slot < SLOTS; slot++) {
      if (sidecars[slot].isStopped()) {
        sidecars[slot] = newSidecar(slot);
      }
      if (routers[slot].isClosed()) {
        replaceRouter(slot, true);
      }
    }
    while (superseded.size() > MAX_SUPERSEDED) {
      stop(superseded.remove(0));
    }
    superseded.removeIf(node -> node instanceof ScheduleSidecar sidecar && sidecar.isStopped());
  }

  private static void stop(ScheduleNode node) {
    if (node instanceof ScheduleSidecar sidecar) {
      sidecar.crash();
    }
  }

  private ScheduleRouter newRouter(int slot) {
    incarnations++;
    ScheduleRouter router =
        new ScheduleRouter(this, Incarnation.of("r" + slot + "#" + incarnations));
    holders.add(router.id);
    return router;
  }

  private ScheduleSidecar newSidecar(int slot) {
    incarnations++;
    return new ScheduleSidecar(this, Incarnation.of("s" + slot + "#" + incarnations));
  }

  /** Replaces a router; the old one either stops or keeps running next to its successor. */
  private void replaceRouter(int slot, boolean keepsRunning) {
    if (keepsRunning) {
      superseded.add(routers[slot]);
    }
    operatorNode.append(List.of(new DecisionRecord.HolderClosed(routers[slot].id)));
    routers[slot] = newRouter(slot);
  }

  private void replaceSidecar(int slot, int fault) {
    if (fault == 0) {
      superseded.add(sidecars[slot]);
    } else {
      sidecars[slot].crash();
    }
    sidecars[slot] = newSidecar(slot);
  }

  private void recover() {
    log.setDown(false);
    operatorNode.writeSnapshot();
    for (int round = 0; round < RECOVERY_ROUNDS; round++) {
      nowNanos += STEP_NANOS;
      for (ScheduleNode node : nodes()) {
        node.paused = false;
        node.disconnectedFromLog = false;
        node.disconnectedFromPeers = false;
      }
      if (round % 10 == 0) {
        operatorNode.writeSnapshot();
      }
      tickAll();
    }
  }

  /** Publishes top-ups, closes holders and writes snapshots on behalf of operators; never fails. */
  private static final class OperatorNode extends ScheduleNode {
    private OperatorNode(ScheduleSimulation simulation) {
      super(simulation, Incarnation.of("keeper#1"));
    }

    private void writeSnapshot() {
      append(new ArrayList<>(SnapshotAssembler.split(simulation.oracle.state())));
    }

    @Override
    void onEvent(DecisionEvent event) {}

    @Override
    void runTasks() {}
  }
}
