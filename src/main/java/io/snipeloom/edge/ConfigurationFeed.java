package io.snipeloom.edge;

import io.snipeloom.forwarding.Fleet;
import io.snipeloom.platform.ConfigurationDecoder;
import io.snipeloom.platform.PlatformTopics;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.List;
import java.util.function.Consumer;

/**
 * Applies the configuration documents that operators publish in the store. A document that cannot
 * be decoded is logged and ignored. Confined to the event loop thread.
 */
final class ConfigurationFeed implements TopicWatch.Listener {
  private final Fleet fleet;
  private final EventLog log;
  private final Consumer<StoreOutcome> onOutcome;

  ConfigurationFeed(Fleet fleet, EventLog log, Consumer<StoreOutcome> onOutcome) {
    this.fleet = fleet;
    this.log = log;
    this.onOutcome = onOutcome;
  }

  @Override
  public void onListed(List<KeyedRecord> records) {
    records.forEach(this::apply);
  }

  @Override
  public void onAppended(List<KeyedRecord> records) {
    records.forEach(this::apply);
  }

  @Override
  public void onOutcome(StoreOutcome outcome) {
    onOutcome.accept(outcome);
  }

  private void apply(KeyedRecord record) {
    if (!record.key().equals(PlatformTopics.CONFIGURATION_KEY) || record.isRemoval()) {
      return;
    }
    try {
      FleetConfiguration configuration = ConfigurationDecoder.decode(record.value());
      boolean applied = fleet.apply(configuration);
      log.log(
          "configuration",
          "version",
          configuration.version(),
          "applied",
          applied,
          "bytes",
          record.value().length);
    } catch (SnipeloomException e) {
      log.log("configuration_refused", "reason", e.getMessage());
    }
  }
}
