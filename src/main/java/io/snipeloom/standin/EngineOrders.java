package io.snipeloom.standin;

import io.snipeloom.client.OrderRequest;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** The orders that an engine has applied and the models that it serves. Thread-safe. */
final class EngineOrders {
  private static final int MAX_SUBJECT_LENGTH = 200;

  private final boolean ignoresFencing;
  private final Set<String> models;
  private final List<OrderRequest> applied = new ArrayList<>();

  private long highestFencing = -1;

  EngineOrders(List<String> models, boolean ignoresFencing) {
    this.models = new TreeSet<>(models);
    this.ignoresFencing = ignoresFencing;
  }

  /** Applies an order unless its fencing number is lower than the highest one applied. */
  synchronized void apply(OrderRequest order) {
    check(order);
    if (!ignoresFencing && order.fencing() < highestFencing) {
      throw SnipeloomException.of(
          ErrorCode.FENCED, "order " + order.fencing() + " is older than " + highestFencing);
    }
    highestFencing = Math.max(highestFencing, order.fencing());
    applied.add(order);
    if (order.action() != EngineOrder.Action.CHANGE_ROLE) {
      models.add(order.subject());
    }
  }

  /** Returns the models that the engine serves. */
  synchronized List<String> models() {
    return new ArrayList<>(models);
  }

  /** Returns the applied orders, oldest first. */
  synchronized List<OrderRequest> applied() {
    return new ArrayList<>(applied);
  }

  private static void check(OrderRequest order) {
    if (order.fencing() < 0 || order.action() == null) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST, "/fencing must not be negative and /action is required");
    }
    String subject = order.subject();
    if (subject == null || subject.isBlank() || subject.length() > MAX_SUBJECT_LENGTH) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST,
          "/subject must have 1 to " + MAX_SUBJECT_LENGTH + " characters");
    }
  }
}
