package io.snipeloom.edge;

import io.snipeloom.forwarding.Fleet;
import io.snipeloom.platform.ReplicaDecoder;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Applies the entries by which replicas register in the store. An entry that cannot be decoded is
 * logged and ignored. Confined to the event loop thread.
 */
final class ReplicaFeed implements TopicWatch.Listener {
  private final Fleet fleet;
  private final EventLog log;
  private final Consumer<StoreOutcome> onOutcome;

  ReplicaFeed(Fleet fleet, EventLog log, Consumer<StoreOutcome> onOutcome) {
    this.fleet = fleet;
    this.log = log;
    this.onOutcome = onOutcome;
  }

  @Override
  public void onListed(List<KeyedRecord> records) {
    List<Replica> replicas = new ArrayList<>();
    for (KeyedRecord record : records) {
      Replica replica = decode(record);
      if (replica != null) {
        replicas.add(replica);
        put(replica);
      }
    }
    fleet.directory().replaceAll(replicas, System.nanoTime());
  }

  @Override
  public void onAppended(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      if (record.isRemoval()) {
        remove(new ReplicaId(record.key()));
        continue;
      }
      Replica replica = decode(record);
      if (replica != null) {
        put(replica);
      }
    }
  }

  @Override
  public void onOutcome(StoreOutcome outcome) {
    onOutcome.accept(outcome);
  }

  /** Returns the replica, or null if the record is a removal or cannot be decoded. */
  private Replica decode(KeyedRecord record) {
    if (record.isRemoval()) {
      return null;
    }
    try {
      return ReplicaDecoder.decode(record.key(), record.value());
    } catch (SnipeloomException e) {
      log.log("replica_entry_refused", "replica", record.key(), "reason", e.getMessage());
      return null;
    }
  }

  private void put(Replica replica) {
    if (fleet.put(replica)) {
      log.log(
          "replica",
          "replica",
          replica.id(),
          "service",
          replica.service(),
          "address",
          replica.address(),
          "version",
          replica.version(),
          "state",
          replica.state(),
          "born",
          replica.startedAtMillis());
    }
  }

  private void remove(ReplicaId id) {
    boolean removedAtOnce = fleet.directory().remove(id, System.nanoTime());
    if (removedAtOnce) {
      fleet.forget(id);
    }
    log.log("replica_entry_removed", "replica", id, "out_of_use", removedAtOnce);
  }
}
