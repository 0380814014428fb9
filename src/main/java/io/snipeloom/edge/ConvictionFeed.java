package io.snipeloom.edge;

import io.snipeloom.crashes.Conviction;
import io.snipeloom.crashes.CrashControl;
import io.snipeloom.crashes.EvidenceBatch;
import io.snipeloom.crashes.RequestTrait;
import io.snipeloom.state.Moment;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedConvictions;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Applies the convictions that are stored and the evidence of other instances. A record that cannot
 * be decoded is logged and ignored. Confined to the event loop thread.
 */
final class ConvictionFeed implements TopicWatch.Listener {
  private final CrashControl crashes;
  private final String instance;
  private final EventLog log;
  private boolean listed;

  ConvictionFeed(CrashControl crashes, String instance, EventLog log) {
    this.crashes = crashes;
    this.instance = instance;
    this.log = log;
  }

  /** Returns whether the stored convictions have been read. */
  boolean isListed() {
    return listed;
  }

  /** Applies the convictions of a listing; the evidence in it may be old and is skipped. */
  @Override
  public void onListed(List<KeyedRecord> records) {
    List<Conviction> convictions = new ArrayList<>();
    Map<RequestTrait, String> trials = new HashMap<>();
    for (KeyedRecord record : records) {
      logFailure(record, () -> decode(record).ifPresent(convictions::add));
      logFailure(
          record,
          () ->
              KeyedConvictions.triedRequest(record)
                  .ifPresent(request -> trials.put(request, KeyedConvictions.claimant(record))));
    }
    crashes.onListed(convictions, trials);
    listed = true;
  }

  @Override
  public void onAppended(KeyedRecord record, Optional<Moment> after) {
    logFailure(record, () -> apply(record));
  }

  @Override
  public void onOutcome(StoreOutcome outcome, Moment availableAt) {
    // The other watches tell whether the store is available.
    if (outcome == StoreOutcome.REVERTED) {
      crashes.onStoreReverted();
    }
  }

  @Override
  public void onFailure(String topic, Throwable failure) {
    log.log("record_failed", "topic", topic, "reason", failure);
  }

  private void apply(KeyedRecord record) {
    Optional<String> recordedBy = KeyedConvictions.recordingInstance(record);
    Optional<RequestTrait> tried = KeyedConvictions.triedRequest(record);
    if (tried.isPresent()) {
      if (!record.isRemoval()) {
        crashes.onTrialClaimed(tried.get(), KeyedConvictions.claimant(record));
      }
    } else if (recordedBy.isPresent()) {
      if (!recordedBy.get().equals(instance)) {
        EvidenceBatch batch = EvidenceBatch.parse(record.value());
        crashes.onEvidence(recordedBy.get(), batch, System.nanoTime());
      }
    } else if (record.isRemoval()) {
      KeyedConvictions.convictedTrait(record).ifPresent(crashes::onRemoved);
    } else {
      decode(record).ifPresent(crashes::onStored);
    }
  }

  private static Optional<Conviction> decode(KeyedRecord record) {
    Optional<RequestTrait> trait = KeyedConvictions.convictedTrait(record);
    return record.isRemoval()
        ? Optional.empty()
        : trait.map(found -> Conviction.parse(found, record.value()));
  }

  private void logFailure(KeyedRecord record, Runnable task) {
    try {
      task.run();
    } catch (SnipeloomException e) {
      log.log("conviction_record_refused", "key", record.key(), "reason", e.getMessage());
    }
  }
}
