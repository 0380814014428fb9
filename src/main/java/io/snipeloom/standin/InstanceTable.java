package io.snipeloom.standin;

import io.snipeloom.client.Instance;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The instances, and the pending changes that become visible after a delay. Thread-safe. */
final class InstanceTable {
  private static final int MAX_INSTANCES = 20_000;

  private final LongSupplier nanos;
  private final Map<InstanceId, Instance> latest = new TreeMap<>();
  private final Map<InstanceId, Instance> visible = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();

  InstanceTable(LongSupplier nanos) {
    this.nanos = nanos;
  }

  /** Applies the changes that are due and returns the visible instances. */
  synchronized List<Instance> visible() {
    long now = nanos.getAsLong();
    while (!pending.isEmpty() && pending.peekFirst().visibleAt() - now <= 0) {
      pending.removeFirst().applyTo(visible);
    }
    return new ArrayList<>(visible.values());
  }

  /** Adds or replaces an instance. */
  synchronized void put(Instance instance, long lagMillis) {
    if (latest.size() >= MAX_INSTANCES && !latest.containsKey(instance.id())) {
      throw SnipeloomException.of(ErrorCode.OVERLOADED, "too many instances");
    }
    apply(new Change(visibleAt(lagMillis), instance.id(), instance));
  }

  /** Removes an instance. */
  synchronized void remove(InstanceId id, long lagMillis) {
    require(id);
    apply(new Change(visibleAt(lagMillis), id, null));
  }

  /** Marks an instance as leaving. */
  synchronized void markLeaving(InstanceId id, long lagMillis) {
    Instance old = require(id);
    Instance leaving =
        new Instance(id, old.role(), old.zone(), old.upstream(), old.address(), old.port(), true);
    apply(new Change(visibleAt(lagMillis), id, leaving));
  }

  private Instance require(InstanceId id) {
    Instance instance = latest.get(id);
    if (instance == null) {
      throw SnipeloomException.of(ErrorCode.NOT_FOUND, "no instance " + id);
    }
    return instance;
  }

  private void apply(Change change) {
    change.applyTo(latest);
    pending.addLast(change);
  }

  private long visibleAt(long lagMillis) {
    return nanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(lagMillis);
  }

  /** A pending change; a null instance means removal. */
  private record Change(long visibleAt, InstanceId id, Instance instance) {

    void applyTo(Map<InstanceId, Instance> map) {
      if (instance == null) {
        map.remove(id);
      } else {
        map.put(id, instance);
      }
    }
  }
}
