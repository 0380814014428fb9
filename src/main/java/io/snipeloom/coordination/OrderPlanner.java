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
 * Plans the next orders of a rolling change of the replicas of one upstream.
 *
 * <p>The plan is a pure function of the orders in the log and of the view. Several routers may plan
 * at once from views that differ: an order given twice does nothing the second time, and the guard
 * below keeps one replica of each model ready whichever of them is first. Immutable and
 * thread-safe.
 *
 * <p>A replica may be interrupted only while, for each model that it serves, another ready replica
 * either has completed the change, and is therefore ordered by nobody, or follows it in the order
 * of the slots. So the last ready slot waits for a completed one, in every view.
 */
public final class OrderPlanner {
  /** The time after which an order without effect is given again. */
  static final Duration ORDER_TIMEOUT = Duration.ofMinutes(10);

  private final WeightStoreRate rate;
  private final int batch;

  /**
   * What is known of a replica.
   *
   * @param id its slot
   * @param ready whether it serves requests and is not leaving
   * @param models the models that it serves
   * @param loaded the models, adapters, versions or role that it reports as present
   */
  public record Replica(InstanceId id, boolean ready, Set<ModelId> models, Set<String> loaded) {

    /** Copies the sets. */
    public Replica {
      models = Set.copyOf(models);
      loaded = Set.copyOf(loaded);
    }
  }

  /**
   * An order found in the log.
   *
   * @param target the slot
   * @param order the order
   * @param offset its offset, which is its fencing number
   * @param seenNanos when this process applied it, in nanoseconds
   */
  public record Issued(InstanceId target, EngineOrder order, long offset, long seenNanos) {}

  private OrderPlanner(WeightStoreRate rate, int batch) {
    this.rate = rate;
    this.batch = batch;
  }

  /**
   * Returns a planner.
   *
   * @param rate the rate of the weight store, for the whole fleet
   * @param batch the most replicas that are changed at once, at least 1
   * @return the planner
   */
  public static OrderPlanner of(WeightStoreRate rate, int batch) {
    return new OrderPlanner(rate, batch);
  }

  /**
   * Returns the orders to issue now.
   *
   * @param order the change wanted at every replica
   * @param replicas the replicas of the upstream
   * @param issued the orders in the log, of all upstreams, in the order of the log
   * @param nowNanos the present time in nanoseconds
   * @return the records to append; empty if the change is complete or has to wait
   */
  public List<DecisionRecord> plan(
      EngineOrder order, Collection<Replica> replicas, List<Issued> issued, long nowNanos) {
    Set<InstanceId> changing = changing(replicas, issued, nowNanos);
    int permits = Math.min(batch - changing.size(), rate.available(issued, nowNanos));
    List<DecisionRecord> orders = new ArrayList<>();
    for (Replica replica : sorted(replicas)) {
      if (orders.size() >= permits) {
        break;
      }
      if (isDone(order, replica) || changing.contains(replica.id())) {
        continue;
      }
      if (!interrupts(order) || isGuarded(order, replica, replicas, changing)) {
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
   * @return true if all report it as present
   */
  public static boolean isComplete(EngineOrder order, Collection<Replica> replicas) {
    return replicas.stream().allMatch(replica -> isDone(order, replica));
  }

  private static boolean isDone(EngineOrder order, Replica replica) {
    return replica.loaded().contains(order.subject());
  }

  /** Loading beside what runs leaves the replica ready; a new version or role does not. */
  private static boolean interrupts(EngineOrder order) {
    return order.action() == EngineOrder.Action.LOAD_VERSION
        || order.action() == EngineOrder.Action.CHANGE_ROLE;
  }

  private static boolean isGuarded(
      EngineOrder order, Replica target, Collection<Replica> replicas, Set<InstanceId> changing) {
    return target.models().stream()
        .allMatch(
            model ->
                replicas.stream()
                    .filter(other -> other.ready() && other.models().contains(model))
                    .filter(other -> !changing.contains(other.id()))
                    .anyMatch(other -> isGuardOf(order, target, other)));
  }

  private static boolean isGuardOf(EngineOrder order, Replica target, Replica other) {
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
