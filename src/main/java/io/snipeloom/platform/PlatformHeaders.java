package io.snipeloom.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.forwarding.HeaderCodec;
import io.snipeloom.routing.ColdReport;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.ResponseMetadata;
import io.snipeloom.routing.StatedLimit;
import io.snipeloom.routing.StatedPause;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads and writes the headers of the platform's requests and responses.
 *
 * <p>Stateless and thread-safe.
 */
public final class PlatformHeaders implements HeaderCodec {
  private static final String ATTEMPT_ID = "Snipeloom-Attempt-Id";
  private static final String DEADLINE_MS = "Snipeloom-Deadline-Ms";
  private static final String CREDENTIAL = "Snipeloom-Credential";
  private static final String TENANT = "Snipeloom-Tenant";
  private static final String TOKEN_COUNTS = "Snipeloom-Token-Counts";
  private static final String PROMPT_PREFIX = "Snipeloom-Prompt-Prefix";
  private static final String LAST_EVENT_ID = "Last-Event-Id";
  private static final String RESUMES = "Resumes";
  private static final String EXPECT_REPLICA = "Snipeloom-Expect-Replica";
  private static final String REQUEST_PRIORITY = "Snipeloom-Request-Priority";
  private static final String SIGNATURE = "Snipeloom-Replica-Signature";
  private static final String NOT_EXECUTED = "Snipeloom-Not-Executed";
  private static final String LENGTH_HINT = "Snipeloom-Length-Hint";
  private static final String REPLICA_LOAD = "Snipeloom-Replica-Load";
  private static final String SERVER_LIMIT = "Server-Limit";
  private static final String SERVER_LEAVING = "Server-Leaving";
  private static final String COLD_MS = "Snipeloom-Cold-Ms";
  private static final String KEEP_ALIVE = "Keep-Alive";

  /** The value that states that a replica is leaving. */
  private static final String LEAVING = "1";

  private static final int MISDIRECTED_REQUEST = 421;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MAX_PROMPT_PARTS = 256;

  /** The index of the pace of the host in a load. */
  private static final int PACE_FIELD = 3;

  private static final long MAX_PACE_PERCENT = 10_000;

  /** Headers that apply to a single connection and are not forwarded. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  /** Headers that callers may not set on a forwarded request; they are removed. */
  private static final Set<String> RESERVED =
      Set.of(
          "snipeloom-credential",
          "snipeloom-tenant",
          "snipeloom-deadline-ms",
          "snipeloom-expect-replica",
          "snipeloom-expect-version",
          "snipeloom-request-priority",
          "snipeloom-hold",
          "snipeloom-pin-ms",
          "snipeloom-kv-backup",
          "kv-from",
          "kv-fetch");

  @Override
  public RequestMetadata requestMetadata(HttpHeaders headers) {
    String attemptId = headers.get(ATTEMPT_ID, "");
    if (attemptId.isBlank()) {
      throw invalid("header Snipeloom-Attempt-Id is missing or blank");
    }
    return new RequestMetadata(
        attemptId,
        timeoutMillis(headers.get(DEADLINE_MS)),
        Optional.ofNullable(headers.get(CREDENTIAL)),
        prompt(headers.get(TOKEN_COUNTS), headers.get(PROMPT_PREFIX)),
        text(headers, LAST_EVENT_ID),
        text(headers, RESUMES),
        hint(headers.get(LENGTH_HINT)));
  }

  @Override
  public boolean canSend(String customer) {
    return HeaderText.isSendable(customer);
  }

  @Override
  public HttpHeaders requestHeaders(HttpHeaders source, ForwardMetadata metadata, int bodyBytes) {
    HttpHeaders headers = new DefaultHttpHeaders();
    Set<String> connectionSpecific = connectionHeaders(source);
    for (Map.Entry<String, String> header : source) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && !RESERVED.contains(name)
          && !connectionSpecific.contains(name)) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    headers.set(DEADLINE_MS, metadata.timeoutMillis());
    headers.set(EXPECT_REPLICA, metadata.replica().value());
    headers.set(REQUEST_PRIORITY, metadata.priority());
    metadata.customer().ifPresent(name -> headers.set(TENANT, HeaderText.encoded(name)));
    metadata.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, id));
    if (bodyBytes > 0 || source.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    }
    return headers;
  }

  @Override
  public ResponseMetadata responseMetadata(int status, HttpHeaders headers) {
    return new ResponseMetadata(
        attemptIds(headers),
        headers.contains(SIGNATURE),
        headers.contains(NOT_EXECUTED) || status == MISDIRECTED_REQUEST,
        load(headers.get(REPLICA_LOAD)),
        StatedLimit.parse(headers.getAll(SERVER_LIMIT)),
        headers.getAll(SERVER_LEAVING).stream().anyMatch(value -> value.trim().equals(LEAVING)),
        pause(status, headers),
        ColdReport.parse(headers.getAll(COLD_MS)));
  }

  private static Set<String> attemptIds(HttpHeaders headers) {
    return headers.getAll(ATTEMPT_ID).stream()
        .filter(id -> !id.isBlank())
        .collect(Collectors.toUnmodifiableSet());
  }

  private static StatedPause pause(int status, HttpHeaders headers) {
    return status == SERVICE_UNAVAILABLE
        ? StatedPause.parse(headers.getAll(HttpHeaderNames.RETRY_AFTER))
        : StatedPause.NONE;
  }

  @Override
  public HttpHeaders responseHeaders(HttpHeaders source) {
    HttpHeaders headers = new DefaultHttpHeaders();
    Set<String> connectionSpecific = connectionHeaders(source);
    for (Map.Entry<String, String> header : source) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && !connectionSpecific.contains(name)
          && !name.equals(REPLICA_LOAD.toLowerCase(Locale.ROOT))) {
        headers.add(header.getKey(), header.getValue());
      }
    }
    return headers;
  }

  @Override
  public HttpHeaders localResponseHeaders(String attemptId) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (!attemptId.isEmpty()) {
      headers.set(ATTEMPT_ID, attemptId);
    }
    return headers;
  }

  @Override
  public OptionalLong keepAliveMillis(HttpHeaders headers) {
    String value = headers.get(KEEP_ALIVE, "");
    for (String field : value.split(",", -1)) {
      String trimmed = field.trim();
      if (trimmed.startsWith("timeout=")) {
        OptionalLong seconds = number(trimmed.substring("timeout=".length()));
        return seconds.isPresent() ? OptionalLong.of(seconds.getAsLong() * 1_000) : seconds;
      }
    }
    return OptionalLong.empty();
  }

  /** Returns the names of the headers that the Connection header lists, in lower case. */
  private static Set<String> connectionHeaders(HttpHeaders headers) {
    Set<String> names = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }

  /** Returns the value of a header, empty if it is missing or blank. */
  private static Optional<String> text(HttpHeaders headers, String name) {
    return Optional.ofNullable(headers.get(name)).filter(value -> !value.isBlank());
  }

  private static OptionalLong timeoutMillis(String value) {
    if (value == null) {
      return OptionalLong.empty();
    }
    OptionalLong millis = number(value);
    if (millis.isEmpty()) {
      throw invalid("header Snipeloom-Deadline-Ms is not a non-negative integer");
    }
    return millis;
  }

  private static Optional<Prompt> prompt(String counts, String prefix) {
    if (counts == null) {
      return Optional.empty();
    }
    String[] fields = counts.split(",", -1);
    OptionalLong input = number(fields[0]);
    OptionalLong output = fields.length == 2 ? number(fields[1]) : OptionalLong.empty();
    if (input.isEmpty() || output.isEmpty()) {
      throw invalid("header Snipeloom-Token-Counts is not two non-negative integers");
    }
    return Optional.of(new Prompt(input.getAsLong(), output.getAsLong(), parts(prefix)));
  }

  private static List<PromptPart> parts(String prefix) {
    List<PromptPart> parts = new ArrayList<>();
    if (prefix == null || prefix.isBlank()) {
      return parts;
    }
    for (String entry : prefix.split(",", MAX_PROMPT_PARTS)) {
      int colon = entry.indexOf(':');
      OptionalLong tokens = colon < 0 ? OptionalLong.empty() : number(entry.substring(colon + 1));
      if (tokens.isEmpty()) {
        throw invalid("header Snipeloom-Prompt-Prefix has a part that is not id:tokens");
      }
      parts.add(new PromptPart(entry.substring(0, colon).trim(), tokens.getAsLong()));
    }
    return parts;
  }

  private static Optional<ResponseMetadata.Load> load(String value) {
    if (value == null) {
      return Optional.empty();
    }
    String[] fields = value.split(",", -1);
    if (fields.length < 2) {
      return Optional.empty();
    }
    OptionalLong running = number(fields[0]);
    OptionalLong waiting = number(fields[1]);
    if (running.isEmpty() || waiting.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new ResponseMetadata.Load(
            (int) running.getAsLong(), (int) waiting.getAsLong(), pacePercent(fields)));
  }

  /** Returns the fourth figure of a load, empty if it is missing or says nothing. */
  private static OptionalInt pacePercent(String[] fields) {
    OptionalLong percent =
        fields.length > PACE_FIELD ? number(fields[PACE_FIELD]) : OptionalLong.empty();
    return percent.isPresent() && percent.getAsLong() > 0
        ? OptionalInt.of((int) Math.min(MAX_PACE_PERCENT, percent.getAsLong()))
        : OptionalInt.empty();
  }

  /** Returns the estimate of the output, empty if it is missing or malformed. */
  private static OptionalLong hint(String value) {
    return value == null ? OptionalLong.empty() : number(value);
  }

  /** Returns the number, or empty if the text is not a non-negative integer. */
  private static OptionalLong number(String text) {
    try {
      long value = Long.parseLong(text.trim());
      return value < 0 ? OptionalLong.empty() : OptionalLong.of(value);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static SnipeloomException invalid(String message) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, message).withOrigin("decode", "caller");
  }
}
