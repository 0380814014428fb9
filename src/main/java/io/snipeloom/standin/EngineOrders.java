package io.snipeloom.standin;

import io.snipeloom.client.OrderRequest;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** The orders that an engine carried out and the models that it serves. Thread-safe. */
final class EngineOrders {
  private static final int MAX_SUBJECT_LENGTH = 200;

  private final boolean ignoresFencing;
  private final Set<String> models;
  private final List<OrderRequest> done = new ArrayList<>();

  private long highest = -1;

  EngineOrders(List<String> models, boolean ignoresFencing) {
    this.models = new TreeSet<>(models);
    this.ignoresFencing = ignoresFencing;
  }

  /** Carries out an order unless its fencing number is old. */
  synchronized void apply(OrderRequest order) {
    check(order);
    if (!ignoresFencing && order.fencing() < highest) {
      throw SnipeloomException.of(
          ErrorCode.FENCED, "order " + order.fencing() + " is older than " + highest);
    }
    highest = Math.max(highest, order.fencing());
    done.add(order);
    if (order.action() != EngineOrder.Action.CHANGE_ROLE) {
      models.add(order.subject());
    }
  }

  /** Returns the models that are served. */
  synchronized List<String> models() {
    return new ArrayList<>(models);
  }

  /** Returns the orders that were carried out. */
  synchronized List<OrderRequest> done() {
    return new ArrayList<>(done);
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
