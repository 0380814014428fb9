package io.snipeloom.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps the orders issued to each target; of orders with the same action and subject, only the one
 * issued last.
 */
final class OrderTable {
  private static final int MAX_ORDERS_PER_TARGET = 64;

  private final Map<InstanceId, List<IssuedOrder>> orders = new TreeMap<>();

  DecisionEvent issue(long offset, DecisionRecord.OrderIssued record) {
    List<IssuedOrder> issued = orders.computeIfAbsent(record.target(), id -> new ArrayList<>());
    issued.removeIf(earlier -> earlier.order().equals(record.order()));
    if (issued.size() == MAX_ORDERS_PER_TARGET) {
      issued.remove(0);
    }
    issued.add(new IssuedOrder(offset, record.target(), record.order()));
    return new DecisionEvent.OrderIssued(offset, record.target(), record.order());
  }

  List<IssuedOrder> of(InstanceId target) {
    return List.copyOf(orders.getOrDefault(target, List.of()));
  }

  List<IssuedOrder> image() {
    return orders.values().stream().flatMap(List::stream).toList();
  }

  void restore(List<IssuedOrder> image) {
    image.forEach(
        issued -> orders.computeIfAbsent(issued.target(), id -> new ArrayList<>()).add(issued));
  }
}
