package io.snipeloom.coordination;

import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.ModelId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans the next engine orders of a rolling change to the replicas of one upstream.
 *
 * <p>The plan is a pure function of the orders in the log and of the router's view of the replicas.
 * Several routers with different views may plan concurrently: a repeated order has no effect, and
 * the rule below keeps one replica of each model ready regardless of which router's order comes
 * first. Immutable and thread-safe.
 *
 * <p>A replica may be interrupted only if, for each model that it serves, there is another ready
 * replica that either has completed the change, so that no router will interrupt it, or comes later
 * in the order of the slots. The last ready slot must therefore wait until another one has
 * completed the change, in the view of every router.
 */
public final class OrderPlanner {
  /** The time after which an order that had no effect is issued again. */
  static final Duration ORDER_TIMEOUT = Duration.ofMinutes(10);

  private final WeightStoreRate rate;
  private final int maxConcurrentChanges;

  /**
   * The view that a router has of a replica.
   *
   * @param id the slot of the replica
   * @param ready whether it serves requests and is not leaving
   * @param models the models that it serves
   * @param loaded the models, adapters, versions and the role that it reports as present
   */
  public record Replica(InstanceId id, boolean ready, Set<ModelId> models, Set<String> loaded) {

    /** Makes unmodifiable copies of the sets. */
    public Replica {
      models = Set.copyOf(models);
      loaded = Set.copyOf(loaded);
    }
  }

  /**
   * An order that was read from the log.
   *
   * @param target the slot that the order is for
   * @param order the order
   * @param offset the log offset of the order, which is its fencing number
   * @param seenNanos the time at which this process applied the order, in nanoseconds
   */
  public record Issued(InstanceId target, EngineOrder order, long offset, long seenNanos) {}

  private OrderPlanner(WeightStoreRate rate, int maxConcurrentChanges) {
    this.rate = rate;
    this.maxConcurrentChanges = maxConcurrentChanges;
  }

  /**
   * Returns a planner.
   *
   * @param rate the rate limit of the weight store for the whole fleet
   * @param maxConcurrentChanges the maximum number of replicas that change at the same time, at
   *     least 1
   */
  public static OrderPlanner of(WeightStoreRate rate, int maxConcurrentChanges) {
    return new OrderPlanner(rate, maxConcurrentChanges);
  }

  /**
   * Returns the orders to issue now.
   *
   * @param order the change to make at every replica
   * @param replicas the replicas of the upstream
   * @param issued the orders in the log, of all upstreams and in log order
   * @param nowNanos the current time in nanoseconds
   * @return the records to append; empty if the change is complete or no further order may be
   *     issued yet
   */
  public List<DecisionRecord> plan(
      EngineOrder order, Collection<Replica> replicas, List<Issued> issued, long nowNanos) {
    Set<InstanceId> changing = changing(replicas, issued, nowNanos);
    int permits =
        Math.min(maxConcurrentChanges - changing.size(), rate.available(issued, nowNanos));
    List<DecisionRecord> orders = new ArrayList<>();
    for (Replica replica : sorted(replicas)) {
      if (orders.size() >= permits) {
        break;
      }
      if (isDone(order, replica) || changing.contains(replica.id())) {
        continue;
      }
      if (!interrupts(order) || hasReadyPeers(order, replica, replicas, changing)) {
        orders.add(new DecisionRecord.OrderIssued(replica.id(), order));
        changing.add(replica.id());
      }
    }
    return orders;
  }

  /**
   * Returns whether every replica has completed the change.
   *
   * @param order the change
   * @param replicas the replicas of the upstream
   * @return true if all replicas report the subject of the change as present
   */
  public static boolean isComplete(EngineOrder order, Collection<Replica> replicas) {
    return replicas.stream().allMatch(replica -> isDone(order, replica));
  }

  private static boolean isDone(EngineOrder order, Replica replica) {
    return replica.loaded().contains(order.subject());
  }

  /**
   * Returns whether an order makes a replica unready. Loading an additional model or adapter leaves
   * it ready; a new version or role does not.
   */
  private static boolean interrupts(EngineOrder order) {
    return order.action() == EngineOrder.Action.LOAD_VERSION
        || order.action() == EngineOrder.Action.CHANGE_ROLE;
  }

  private static boolean hasReadyPeers(
      EngineOrder order, Replica target, Collection<Replica> replicas, Set<InstanceId> changing) {
    return target.models().stream()
        .allMatch(
            model ->
                replicas.stream()
                    .filter(other -> other.ready() && other.models().contains(model))
                    .filter(other -> !changing.contains(other.id()))
                    .anyMatch(other -> coversFor(order, target, other)));
  }

  private static boolean coversFor(EngineOrder order, Replica target, Replica other) {
    if (other.id().equals(target.id())) {
      return false;
    }
    return isDone(order, other) || other.id().compareTo(target.id()) > 0;
  }

  private static Set<InstanceId> changing(
      Collection<Replica> replicas, List<Issued> issued, long nowNanos) {
    Map<InstanceId, Issued> latest = new HashMap<>();
    issued.forEach(order -> latest.put(order.target(), order));
    Set<InstanceId> changing = new HashSet<>();
    for (Replica replica : replicas) {
      Issued last = latest.get(replica.id());
      if (last != null
          && !isDone(last.order(), replica)
          && nowNanos - last.seenNanos() < ORDER_TIMEOUT.toNanos()) {
        changing.add(replica.id());
      }
    }
    return changing;
  }

  private static List<Replica> sorted(Collection<Replica> replicas) {
    return replicas.stream().sorted(Comparator.comparing(Replica::id)).toList();
  }
}
