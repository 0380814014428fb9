package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.snipeloom.forwarding.AsyncHttpClient;
import io.snipeloom.forwarding.AsyncHttpClient.Verdict;
import io.snipeloom.forwarding.RepeatPolicy;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A client of the platform's metadata store, which is called over HTTP.
 *
 * <p>The store names no call in its answers and may send one twice. An answer on a connection that
 * has carried others counts only if it agrees with what was asked and with what is known of the
 * partition: where it ends, which only rises within an era. Confined to the event loop thread.
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

  /** When a listing, or a read that does not wait, is made again and fails. */
  private static final RepeatPolicy CALL_POLICY =
      new RepeatPolicy(OVERDUE_MILLIS, CALL_TIMEOUT_MILLIS - OVERDUE_MILLIS, 2);

  /**
   * The tries of a read that waits. It goes on for longer than others, since a new connection may
   * be slow, and nothing is read while none is open.
   */
  private static final int WAITING_READ_TRIES = 4;

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
  private final Consumer<String> onForeignAnswer;
  private final Map<String, Long> knownEnds = new HashMap<>();
  private boolean eraKnown;
  private long era;

  /**
   * Creates a client.
   *
   * @param client sends the HTTP requests to the store
   * @param onForeignAnswer called with a topic and partition when a call for it received an answer
   *     that belongs to another call
   */
  public PlatformStore(AsyncHttpClient client, Consumer<String> onForeignAnswer) {
    this.client = client;
    this.onForeignAnswer = onForeignAnswer;
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
      enter(stated);
    }
    return stated == era && (!sent.known() || sent.era() == era);
  }

  @Override
  public void onEra(long told) {
    if (eraKnown && told > era && told - era <= MAX_ERA_RISE) {
      enter(told);
    }
  }

  private void enter(long newEra) {
    eraKnown = true;
    era = newEra;
    knownEnds.clear();
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

  /** Judges and receives the answers to one call. */
  private abstract class AnswerListener implements AsyncHttpClient.Listener {
    private final String partition;
    private final SentEra sent = new SentEra(eraKnown, era);
    private boolean current;

    AnswerListener(String partition) {
      this.partition = partition;
    }

    /** Returns what an answer of the era in which the call was sent is to the call. */
    abstract Verdict judgeCurrent(int status, ByteBuf body, boolean first);

    @Override
    public final Verdict judge(AsyncHttpClient.Response response) {
      current = isOfCurrentEra(response.headers(), sent);
      if (!current) {
        return Verdict.LAST_ANSWER;
      }
      Verdict verdict = judgeCurrent(response.status(), response.body(), response.first());
      if (verdict == Verdict.FOREIGN) {
        onForeignAnswer.accept(partition);
      }
      return verdict;
    }

    final boolean isCurrent() {
      return current;
    }

    final void onEnd(long end) {
      knownEnds.merge(partition, end, Math::max);
    }
  }

  private long knownEnd(String partition) {
    return knownEnds.getOrDefault(partition, 0L);
  }

  /** Names a partition, whose calls share no connections with those of others. */
  private static String nameOf(String topic, int partition) {
    return topic + "/" + partition;
  }

  @Override
  public void newest(
      String topic, int partition, String afterKey, BiConsumer<StoreOutcome, RecordPage> listener) {
    String after =
        afterKey.isEmpty() ? "" : "&after=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8);
    String uri =
        "/api/log-newest?topic=%s&part=%d%s"
            .formatted(KEYED_TOPIC_PREFIX + topic, partition, after);
    // A copy of a listing, or of another page of it, could not be told from the answer.
    client.callOnNewConnection(
        uri,
        CALL_POLICY,
        new PageListener(
            nameOf(topic, partition),
            listener,
            PlatformStore::decodeListing,
            page -> Verdict.LAST_ANSWER));
  }

  @Override
  public void read(
      String topic, int partition, long from, long waitMillis, KeyedLog.ReadListener listener) {
    String name = nameOf(topic, partition);
    ReadCheck check = new ReadCheck(from, knownEnd(name));
    client.callRepeatable(
        name,
        readUri(topic, partition, from, waitMillis),
        readUri(topic, partition, from, 0),
        waitMillis == 0 ? CALL_POLICY : waitingReadPolicy(waitMillis),
        new ReadListener(name, listener, check));
  }

  private static RepeatPolicy waitingReadPolicy(long waitMillis) {
    return new RepeatPolicy(
        OVERDUE_MILLIS + waitMillis, CALL_TIMEOUT_MILLIS - OVERDUE_MILLIS, WAITING_READ_TRIES);
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
        nameOf(topic, partition),
        "/api/log-append?topic=%s&part=%d&at=%d"
            .formatted(KEYED_TOPIC_PREFIX + topic, partition, at),
        OptionalLong.of(at),
        records,
        listener);
  }

  @Override
  public void append(
      String topic, int partition, KeyedRecord record, Consumer<StoreOutcome> listener) {
    append(
        nameOf(topic, partition),
        "/api/log-append?topic=%s&part=%d".formatted(KEYED_TOPIC_PREFIX + topic, partition),
        OptionalLong.empty(),
        List.of(record),
        listener);
  }

  private void append(
      String name,
      String uri,
      OptionalLong at,
      List<KeyedRecord> records,
      Consumer<StoreOutcome> listener) {
    AppendCheck check = new AppendCheck(at, records.size(), knownEnd(name));
    client.call(
        name,
        HttpMethod.POST,
        uri,
        RecordFraming.encode(records),
        CALL_TIMEOUT_MILLIS,
        new AppendListener(name, listener, check));
  }

  /** Judges and receives the answers to an append. */
  private final class AppendListener extends AnswerListener {
    private final Consumer<StoreOutcome> listener;
    private final AppendCheck check;

    AppendListener(String partition, Consumer<StoreOutcome> listener, AppendCheck check) {
      super(partition);
      this.listener = listener;
      this.check = check;
    }

    @Override
    Verdict judgeCurrent(int status, ByteBuf body, boolean first) {
      JsonNode stated = decodeAppended(body);
      Verdict verdict =
          switch (status) {
            case OK -> check.judgeAccepted(stated);
            case PRECONDITION_FAILED -> check.judgeConflict(stated);
            default -> Verdict.LAST_ANSWER;
          };
      if (verdict == Verdict.ANSWER) {
        onEnd(stated.path("end").asLong());
      }
      return first && verdict == Verdict.FOREIGN ? Verdict.LAST_ANSWER : verdict;
    }

    @Override
    public void onResponse(AsyncHttpClient.Response response) {
      listener.accept(isCurrent() ? toOutcome(response.status()) : StoreOutcome.REVERTED);
    }

    @Override
    public void onFailed(boolean sent) {
      listener.accept(sent ? StoreOutcome.UNKNOWN : StoreOutcome.UNREACHED);
    }
  }

  /** Decodes the body of a successful response. */
  private interface PageDecoder {
    RecordPage decode(ByteBuf body) throws IOException;
  }

  /** Judges and receives pages; a topic that does not exist is read as empty. */
  private class PageListener extends AnswerListener {
    private final BiConsumer<StoreOutcome, RecordPage> listener;
    private final PageDecoder decoder;
    private final Function<RecordPage, Verdict> check;
    private RecordPage page;

    PageListener(
        String partition,
        BiConsumer<StoreOutcome, RecordPage> listener,
        PageDecoder decoder,
        Function<RecordPage, Verdict> check) {
      super(partition);
      this.listener = listener;
      this.decoder = decoder;
      this.check = check;
    }

    @Override
    Verdict judgeCurrent(int status, ByteBuf body, boolean first) {
      page = decode(status, body);
      if (status != OK && status != NOT_FOUND) {
        return Verdict.LAST_ANSWER;
      }
      Verdict verdict = page == null ? Verdict.FOREIGN : check.apply(page);
      if (verdict != Verdict.FOREIGN) {
        onEnd(page.end());
      }
      return first && verdict == Verdict.FOREIGN ? Verdict.LAST_ANSWER : verdict;
    }

    /** Returns the page in a body, null if there is none that can be read. */
    private RecordPage decode(int status, ByteBuf body) {
      try {
        return switch (status) {
          case OK -> decoder.decode(body);
          case NOT_FOUND -> new RecordPage(List.of(), 0, "");
          case GONE -> decodeExpired(body);
          default -> null;
        };
      } catch (IOException | SnipeloomException | IllegalArgumentException e) {
        return null;
      }
    }

    @Override
    public void onResponse(AsyncHttpClient.Response response) {
      int status = response.status();
      if (!isCurrent()) {
        listener.accept(StoreOutcome.REVERTED, null);
      } else if (status == NOT_FOUND) {
        listener.accept(StoreOutcome.DONE, page);
      } else if (page == null && (status == OK || status == GONE)) {
        listener.accept(StoreOutcome.UNKNOWN, null);
      } else {
        listener.accept(toOutcome(status), page);
      }
    }

    @Override
    public void onFailed(boolean sent) {
      listener.accept(sent ? StoreOutcome.UNKNOWN : StoreOutcome.UNREACHED, null);
    }
  }

  /** Judges and receives the records that a read returns. */
  private final class ReadListener extends PageListener {
    private final KeyedLog.ReadListener listener;

    ReadListener(String partition, KeyedLog.ReadListener listener, ReadCheck check) {
      super(partition, listener::onRead, PlatformStore::decodeRecords, check::judge);
      this.listener = listener;
    }

    @Override
    public void onOverdue(int tries) {
      listener.onOverdue(tries);
    }
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

  /** Returns what the body of the response to an append states, nothing if it cannot be read. */
  private static JsonNode decodeAppended(ByteBuf body) {
    try {
      return MAPPER.readTree(ByteBufUtil.getBytes(body));
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
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
