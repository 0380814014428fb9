package io.snipeloom.store;

import io.snipeloom.resumption.DeclaredOrigin;
import io.snipeloom.resumption.OriginBatch;
import io.snipeloom.resumption.OriginStore;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Stores the origins of streams in a keyed topic, with one key per instance. The batches of all
 * instances are read in the order of their offsets, as long as the store retains them. Declarations
 * are in another topic, with one key for each origin and incarnation, of which the newest record is
 * kept.
 *
 * <p>Confined to the event loop thread.
 */
public final class KeyedOrigins implements OriginStore {
  private static final int ONLY_PARTITION = 0;
  private static final byte[] REMOVAL = {};

  private final KeyedLog log;
  private final String topic;
  private final String declarationTopic;
  private final String instance;
  private final String incarnation;
  private final Consumer<String> onMalformed;
  private long next;
  private long era;

  /**
   * Creates a store that has read nothing yet.
   *
   * @param log the log that contains the topic
   * @param topic the topic, which must hold nothing but origins
   * @param declarationTopic the topic of what may be an origin
   * @param instance the name of the instance, used as key
   * @param incarnation a unique identifier of this start of the instance
   * @param onMalformed receives the key of each record that cannot be decoded
   */
  public KeyedOrigins(
      KeyedLog log,
      String topic,
      String declarationTopic,
      String instance,
      String incarnation,
      Consumer<String> onMalformed) {
    this.log = log;
    this.topic = topic;
    this.declarationTopic = declarationTopic;
    this.instance = instance;
    this.incarnation = incarnation;
    this.onMalformed = onMalformed;
  }

  @Override
  public long era() {
    return log.era();
  }

  @Override
  public void declare(StreamOrigin origin, Consumer<Boolean> listener) {
    DeclaredOrigin declared =
        new DeclaredOrigin(origin, UUID.randomUUID().toString(), instance, incarnation, log.era());
    write(keyOf(declared), declared.toBytes(), listener);
  }

  @Override
  public void retire(DeclaredOrigin declared, Consumer<Boolean> listener) {
    write(keyOf(declared), REMOVAL, listener);
  }

  private void write(String key, byte[] value, Consumer<Boolean> listener) {
    log.append(
        declarationTopic,
        ONLY_PARTITION,
        new KeyedRecord(key, value),
        outcome -> listener.accept(outcome == StoreOutcome.DONE));
  }

  /** Returns a key of bounded length. */
  private static String keyOf(DeclaredOrigin declared) {
    return UUID.nameUUIDFromBytes(declared.text().getBytes(StandardCharsets.UTF_8)).toString();
  }

  @Override
  public void listDeclared(ListingListener listener) {
    list("", new ArrayList<>(), true, listener);
  }

  private void list(
      String afterKey, List<DeclaredOrigin> declared, boolean complete, ListingListener listener) {
    log.newest(
        declarationTopic,
        ONLY_PARTITION,
        afterKey,
        (outcome, page) -> {
          if (outcome != StoreOutcome.DONE) {
            listener.onFailed();
            return;
          }
          boolean decoded = decodeDeclared(page.records(), declared) && complete;
          if (page.hasMore()) {
            list(page.lastKey(), declared, decoded, listener);
          } else {
            listener.onListed(declared, decoded);
          }
        });
  }

  /** Decodes declarations; returns whether all of them could be decoded. */
  private boolean decodeDeclared(List<KeyedRecord> records, List<DeclaredOrigin> declared) {
    boolean complete = true;
    for (KeyedRecord record : records) {
      try {
        declared.add(DeclaredOrigin.parse(record.value()));
      } catch (SnipeloomException e) {
        complete = false;
        onMalformed.accept(record.key());
      }
    }
    return complete;
  }

  @Override
  public void append(OriginBatch batch, Consumer<Boolean> listener) {
    log.append(
        topic,
        ONLY_PARTITION,
        new KeyedRecord(instance, batch.toBytes()),
        outcome -> listener.accept(outcome == StoreOutcome.DONE));
  }

  @Override
  public void readNew(ReadListener listener) {
    if (log.era() != era) {
      era = log.era();
      next = 0;
    }
    read(next, new ArrayList<>(), true, listener);
  }

  /** Reads from an offset to the end. The offset is kept only once everything has been read. */
  private void read(
      long from, List<OriginBatch> batches, boolean mayRestart, ReadListener listener) {
    log.read(
        topic,
        ONLY_PARTITION,
        from,
        0,
        (outcome, page) -> {
          if (outcome == StoreOutcome.EXPIRED && mayRestart) {
            read(page.end(), batches, false, listener);
          } else if (outcome == StoreOutcome.DONE) {
            onPage(from, page, batches, mayRestart, listener);
          } else {
            listener.onFailed();
          }
        });
  }

  private void onPage(
      long from,
      RecordPage page,
      List<OriginBatch> batches,
      boolean mayRestart,
      ReadListener listener) {
    page.records().forEach(record -> decodeInto(batches, record));
    long following = from + page.records().size();
    if (!page.records().isEmpty() && following < page.end()) {
      read(following, batches, mayRestart, listener);
    } else {
      next = following;
      listener.onRead(batches);
    }
  }

  private void decodeInto(List<OriginBatch> batches, KeyedRecord record) {
    try {
      batches.add(OriginBatch.parse(record.value()));
    } catch (SnipeloomException e) {
      onMalformed.accept(record.key());
    }
  }
}
