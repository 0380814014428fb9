package io.snipeloom.store;

import io.snipeloom.crashes.Conviction;
import io.snipeloom.crashes.ConvictionStore;
import io.snipeloom.crashes.EvidenceBatch;
import io.snipeloom.crashes.RequestTrait;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Stores convictions in a keyed topic with one key per trait, and evidence in the same topic with
 * one key per instance.
 *
 * <p>Confined to the event loop thread.
 */
public final class KeyedConvictions implements ConvictionStore {
  private static final int ONLY_PARTITION = 0;
  private static final String CONVICTION_PREFIX = "conviction/";
  private static final String TRIAL_PREFIX = "trial/";
  private static final String EVIDENCE_PREFIX = "evidence/";
  private static final byte[] REMOVAL = {};

  private final KeyedLog log;
  private final String topic;
  private final String instance;

  /**
   * Creates a store.
   *
   * @param log the log that contains the topic
   * @param topic the topic, which must hold nothing but evidence and convictions
   * @param instance the name of the instance that records evidence
   */
  public KeyedConvictions(KeyedLog log, String topic, String instance) {
    this.log = log;
    this.topic = topic;
    this.instance = instance;
  }

  /**
   * Returns the trait that a record convicts, or whose conviction it removes.
   *
   * @param record a record of the topic
   * @return the trait, empty if the record is evidence
   * @throws io.snipeloom.state.SnipeloomException if its key names no trait
   */
  public static Optional<RequestTrait> convictedTrait(KeyedRecord record) {
    return record.key().startsWith(CONVICTION_PREFIX)
        ? Optional.of(RequestTrait.parse(record.key().substring(CONVICTION_PREFIX.length())))
        : Optional.empty();
  }

  /**
   * Returns the refused request whose trial a record claims, or whose claim it removes.
   *
   * @param record a record of the topic
   * @return the trait of the request, empty if the record is no claim
   * @throws io.snipeloom.state.SnipeloomException if its key names no trait
   */
  public static Optional<RequestTrait> triedRequest(KeyedRecord record) {
    return record.key().startsWith(TRIAL_PREFIX)
        ? Optional.of(RequestTrait.parse(record.key().substring(TRIAL_PREFIX.length())))
        : Optional.empty();
  }

  /**
   * Returns who claims a trial.
   *
   * @param record a record that is a claim
   */
  public static String claimant(KeyedRecord record) {
    return new String(record.value(), StandardCharsets.UTF_8);
  }

  /**
   * Returns the instance that recorded evidence.
   *
   * @param record a record of the topic
   * @return the name of the instance, empty if the record is no evidence
   */
  public static Optional<String> recordingInstance(KeyedRecord record) {
    return record.key().startsWith(EVIDENCE_PREFIX) && !record.isRemoval()
        ? Optional.of(record.key().substring(EVIDENCE_PREFIX.length()))
        : Optional.empty();
  }

  @Override
  public void append(EvidenceBatch batch, Consumer<Boolean> listener) {
    write(EVIDENCE_PREFIX + instance, batch.toBytes(), listener);
  }

  @Override
  public void put(Conviction conviction, Consumer<Boolean> listener) {
    write(CONVICTION_PREFIX + conviction.trait(), conviction.toBytes(), listener);
  }

  @Override
  public void claimTrial(RequestTrait request, String claimant, Consumer<Boolean> listener) {
    write(TRIAL_PREFIX + request, claimant.getBytes(StandardCharsets.UTF_8), listener);
  }

  /** Removes the claim first, so that a conviction that is left has its trial left at the most. */
  @Override
  public void remove(RequestTrait trait, Consumer<Boolean> listener) {
    if (trait.kind() == RequestTrait.Kind.PART) {
      write(CONVICTION_PREFIX + trait, REMOVAL, listener);
      return;
    }
    write(
        TRIAL_PREFIX + trait,
        REMOVAL,
        removed -> {
          if (removed) {
            write(CONVICTION_PREFIX + trait, REMOVAL, listener);
          } else {
            listener.accept(false);
          }
        });
  }

  private void write(String key, byte[] value, Consumer<Boolean> listener) {
    log.append(
        topic,
        ONLY_PARTITION,
        new KeyedRecord(key, value),
        outcome -> listener.accept(outcome == StoreOutcome.DONE));
  }
}
