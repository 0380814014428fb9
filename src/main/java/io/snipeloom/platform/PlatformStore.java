package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.snipeloom.forwarding.AsyncHttpClient;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.RecordPage;
import io.snipeloom.store.StoreOutcome;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A client of the platform's metadata store, which is called over HTTP. Confined to the event loop
 * thread.
 */
public final class PlatformStore implements KeyedLog {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Timeout of a call, to which a read adds its wait and the client the time of a long transfer. A
   * slow store responds within 0.5 seconds.
   */
  private static final long CALL_TIMEOUT_MILLIS = 1_200;

  /** The time in which also a slow store begins its response, beside the wait of a read. */
  private static final long OVERDUE_MILLIS = 600;

  /** The most that one read returns, in KiB: at least one record of any size that is accepted. */
  private static final int READ_PAGE_KIB = 256;

  /** The prefix of topics that keep the newest record of each key forever. */
  private static final String KEYED_TOPIC_PREFIX = "keyed.";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int INSUFFICIENT_STORAGE = 507;

  /** Length of the two offsets at the start of the body of a read. */
  private static final int OFFSETS_BYTES = 16;

  /** The most that the era rises from one response to the next; more cannot be an era. */
  private static final long MAX_ERA_RISE = 1_000;

  /** The response header that states the era of the store. */
  private static final String ERA_HEADER = "Store-Era";

  private final AsyncHttpClient client;
  private boolean eraKnown;
  private long era;

  /**
   * Creates a client.
   *
   * @param client sends the HTTP requests to the store
   */
  public PlatformStore(AsyncHttpClient client) {
    this.client = client;
  }

  @Override
  public long era() {
    return era;
  }

  /**
   * Records the era that a response states.
   *
   * @param headers the headers of the response
   * @param sent the era in which the call was sent
   * @return whether the call and its response belong to the current era
   */
  private boolean isOfCurrentEra(HttpHeaders headers, SentEra sent) {
    long stated = statedEra(headers);
    if (eraKnown && stated - era > MAX_ERA_RISE) {
      stated = era;
    }
    if (!eraKnown || stated > era) {
      eraKnown = true;
      era = stated;
    }
    return stated == era && (!sent.known() || sent.era() == era);
  }

  /** Returns the era in the headers; the current one if they state none that can be read. */
  private long statedEra(HttpHeaders headers) {
    try {
      return Long.parseLong(headers.get(ERA_HEADER, Long.toString(era)).trim());
    } catch (NumberFormatException e) {
      return era;
    }
  }

  /** The era of the store that was known when a call was sent. */
  private record SentEra(boolean known, long era) {}

  @Override
  public void newest(
      String topic, int partition, String afterKey, BiConsumer<StoreOutcome, RecordPage> listener) {
    String after =
        afterKey.isEmpty() ? "" : "&after=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8);
    String uri =
        "/api/log-newest?topic=%s&part=%d%s"
            .formatted(KEYED_TOPIC_PREFIX + topic, partition, after);
    client.callRepeatable(
        uri,
        uri,
        OVERDUE_MILLIS,
        CALL_TIMEOUT_MILLIS,
        pageListener(listener, PlatformStore::decodeListing));
  }

  @Override
  public void read(
      String topic,
      int partition,
      long from,
      long waitMillis,
      BiConsumer<StoreOutcome, RecordPage> listener) {
    client.callRepeatable(
        readUri(topic, partition, from, waitMillis),
        readUri(topic, partition, from, 0),
        OVERDUE_MILLIS + waitMillis,
        CALL_TIMEOUT_MILLIS + waitMillis,
        pageListener(listener, PlatformStore::decodeRecords));
  }

  private static String readUri(String topic, int partition, long from, long waitMillis) {
    return "/api/log-read?topic=%s&part=%d&from=%d&waitMs=%d&maxKb=%d"
        .formatted(KEYED_TOPIC_PREFIX + topic, partition, from, waitMillis, READ_PAGE_KIB);
  }

  @Override
  public void append(
      String topic,
      int partition,
      long at,
      List<KeyedRecord> records,
      Consumer<StoreOutcome> listener) {
    append(
        "/api/log-append?topic=%s&part=%d&at=%d"
            .formatted(KEYED_TOPIC_PREFIX + topic, partition, at),
        records,
        listener);
  }

  @Override
  public void append(
      String topic, int partition, KeyedRecord record, Consumer<StoreOutcome> listener) {
    append(
        "/api/log-append?topic=%s&part=%d".formatted(KEYED_TOPIC_PREFIX + topic, partition),
        List.of(record),
        listener);
  }

  private void append(String uri, List<KeyedRecord> records, Consumer<StoreOutcome> listener) {
    SentEra sent = new SentEra(eraKnown, era);
    client.call(
        HttpMethod.POST,
        uri,
        RecordFraming.encode(records),
        CALL_TIMEOUT_MILLIS,
        new AsyncHttpClient.Listener() {
          @Override
          public void onResponse(int status, HttpHeaders headers, ByteBuf body) {
            boolean current = isOfCurrentEra(headers, sent);
            listener.accept(current ? toOutcome(status) : StoreOutcome.REVERTED);
          }

          @Override
          public void onFailed(boolean sent) {
            listener.accept(sent ? StoreOutcome.UNKNOWN : StoreOutcome.REFUSED);
          }
        });
  }

  /** Decodes the body of a successful response. */
  private interface PageDecoder {
    RecordPage decode(ByteBuf body) throws IOException;
  }

  /** Returns a listener that decodes a page; a topic that does not exist is read as empty. */
  private AsyncHttpClient.Listener pageListener(
      BiConsumer<StoreOutcome, RecordPage> listener, PageDecoder decoder) {
    SentEra sent = new SentEra(eraKnown, era);
    return new AsyncHttpClient.Listener() {
      @Override
      public void onResponse(int status, HttpHeaders headers, ByteBuf body) {
        if (!isOfCurrentEra(headers, sent)) {
          listener.accept(StoreOutcome.REVERTED, null);
          return;
        }
        if (status == NOT_FOUND) {
          listener.accept(StoreOutcome.DONE, new RecordPage(List.of(), 0, ""));
          return;
        }
        if (status != OK && status != GONE) {
          listener.accept(toOutcome(status), null);
          return;
        }
        RecordPage page;
        try {
          page = status == GONE ? decodeExpired(body) : decoder.decode(body);
        } catch (IOException | SnipeloomException | IllegalArgumentException e) {
          listener.accept(StoreOutcome.UNKNOWN, null);
          return;
        }
        listener.accept(toOutcome(status), page);
      }

      @Override
      public void onFailed(boolean sent) {
        listener.accept(sent ? StoreOutcome.UNKNOWN : StoreOutcome.REFUSED, null);
      }
    };
  }

  private static StoreOutcome toOutcome(int status) {
    return switch (status) {
      case OK -> StoreOutcome.DONE;
      case PRECONDITION_FAILED -> StoreOutcome.CONFLICT;
      case GONE -> StoreOutcome.EXPIRED;
      case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE, INSUFFICIENT_STORAGE -> StoreOutcome.REFUSED;
      default -> StoreOutcome.UNKNOWN;
    };
  }

  private static RecordPage decodeListing(ByteBuf body) throws IOException {
    JsonNode root = MAPPER.readTree(ByteBufUtil.getBytes(body));
    if (!root.path("items").isArray() || !root.path("end").canConvertToLong()) {
      throw new IOException("response body is not a whole listing");
    }
    List<KeyedRecord> records = new ArrayList<>();
    for (JsonNode item : root.path("items")) {
      records.add(decodeItem(item));
    }
    boolean hasMore = root.path("hasMore").asBoolean() && !records.isEmpty();
    String lastKey =
        hasMore ? root.path("items").path(records.size() - 1).path("key").asText() : "";
    return new RecordPage(records, root.path("end").asLong(), lastKey);
  }

  /** Decodes an entry of a listing; one that cannot be read doesn't hide those after it. */
  private static KeyedRecord decodeItem(JsonNode item) {
    try {
      byte[] value = Base64.getDecoder().decode(item.path("value").asText());
      return new KeyedRecord(item.path("key").asText(), value);
    } catch (IllegalArgumentException e) {
      return KeyedRecord.unreadable();
    }
  }

  private static RecordPage decodeExpired(ByteBuf body) throws IOException {
    JsonNode first = MAPPER.readTree(ByteBufUtil.getBytes(body)).path("first");
    return new RecordPage(List.of(), first.asLong(), "");
  }

  private static RecordPage decodeRecords(ByteBuf body) throws IOException {
    if (body.readableBytes() < OFFSETS_BYTES) {
      throw new IOException("response body is too short to hold the offsets");
    }
    long end = body.readLong();
    body.skipBytes(Long.BYTES);
    return new RecordPage(RecordFraming.decode(body), end, "");
  }
}
