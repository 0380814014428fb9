package io.snipeloom.edge;

import io.snipeloom.forwarding.Fleet;
import io.snipeloom.platform.ReplicaDecoder;
import io.snipeloom.routing.ColdReport;
import io.snipeloom.routing.RemovedEntry;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.state.Moment;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/**
 * Applies the entries by which replicas register in the store. An entry that cannot be decoded is
 * logged and ignored. Confined to the event loop thread.
 */
final class ReplicaFeed implements TopicWatch.Listener {
  /** The most replicas of which it is remembered that a value was logged. */
  private static final int MAX_REMEMBERED = 1_000;

  private final Fleet fleet;
  private final EventLog log;
  private final Consumer<StoreOutcome> onOutcome;
  private final IntConsumer onOverdue;
  private final Supplier<Moment> clock;
  private final Set<String> unreadableCold = new HashSet<>();
  private boolean listed;

  ReplicaFeed(
      Fleet fleet,
      EventLog log,
      Consumer<StoreOutcome> onOutcome,
      IntConsumer onOverdue,
      Supplier<Moment> clock) {
    this.fleet = fleet;
    this.log = log;
    this.onOutcome = onOutcome;
    this.onOverdue = onOverdue;
    this.clock = clock;
  }

  @Override
  public void onListed(List<KeyedRecord> records) {
    List<Replica> replicas = new ArrayList<>();
    for (KeyedRecord record : records) {
      Replica replica = decode(record);
      if (replica != null && !isOutdated(replica)) {
        replicas.add(replica);
        put(replica, listed);
      }
    }
    listed = true;
    fleet.directory().replaceAll(replicas, clock.get()).forEach(this::onRemoval);
  }

  private boolean isOutdated(Replica listed) {
    boolean outdated = fleet.directory().isOutdated(listed);
    if (outdated) {
      log.log("replica_entry_outdated", "replica", listed.id(), "sequence", listed.sequence());
    }
    return outdated;
  }

  @Override
  public void onAppended(KeyedRecord record, Optional<Moment> after) {
    if (record.isRemoval()) {
      ReplicaId id = new ReplicaId(record.key());
      onRemoval(fleet.directory().remove(id, clock.get()));
      return;
    }
    Replica replica = decode(record);
    if (replica != null) {
      put(replica, true);
      after.ifPresent(moment -> fleet.directory().renew(replica.id(), moment));
    }
  }

  @Override
  public void onOutcome(StoreOutcome outcome, Moment availableAt) {
    if (outcome.isStoreAvailable()) {
      fleet.directory().onRegistryAnswer(availableAt, clock.get());
    } else {
      fleet.directory().onRegistryUnanswered();
    }
    onOutcome.accept(outcome);
  }

  @Override
  public void onOverdue(int tries) {
    fleet.directory().onRegistryUnanswered();
    onOverdue.accept(tries);
  }

  @Override
  public void onFailure(String topic, Throwable failure) {
    log.log("record_failed", "topic", topic, "reason", failure);
  }

  /** Returns the replica, or null if the record is a removal or cannot be decoded. */
  private Replica decode(KeyedRecord record) {
    if (record.isRemoval()) {
      return null;
    }
    try {
      Replica replica = ReplicaDecoder.decode(record.key(), record.value());
      logUnreadableCold(replica);
      return replica;
    } catch (SnipeloomException e) {
      log.log("replica_entry_refused", "replica", record.key(), "reason", e.getMessage());
      return null;
    }
  }

  /** Logs once that a replica does not say how long it stays cold in a way that can be read. */
  private void logUnreadableCold(Replica replica) {
    boolean unreadable = replica.cold().kind() == ColdReport.Kind.UNREADABLE;
    if (unreadable
        && unreadableCold.size() < MAX_REMEMBERED
        && unreadableCold.add(replica.id().value())) {
      log.log("replica_cold_unreadable", "replica", replica.id(), "taken_for", "a whole start");
    }
  }

  private void put(Replica replica, boolean appeared) {
    if (fleet.put(replica, appeared)) {
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
          replica.startedAtMillis(),
          "cold",
          replica.cold().kind(),
          "cold_ms",
          replica.cold().millis());
    }
  }

  private void onRemoval(RemovedEntry entry) {
    if (entry.isOutOfUse()) {
      fleet.forget(entry.id());
    }
    log.log(
        "replica_entry_removed",
        "replica",
        entry.id(),
        "out_of_use",
        entry.isOutOfUse(),
        "taken_for",
        entry.removal(),
        "heartbeat_age_ms",
        entry.heartbeatAgeMillis().orElse(-1));
  }
}
