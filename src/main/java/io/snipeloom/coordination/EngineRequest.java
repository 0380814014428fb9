package io.snipeloom.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.snipeloom.protocol.Header;
import io.snipeloom.protocol.HttpCall;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the call that is sent to the back end. A request to a model engine is changed so that the
 * engine streams its answer, reports its token usage and generates no more tokens than the attempt
 * may.
 *
 * <p>Stateless and thread-safe.
 */
final class EngineRequest {
  private static final String MAX_TOKENS = "max_tokens";
  private static final String MAX_COMPLETION_TOKENS = "max_completion_tokens";

  /** The header with the identifier of the attempt, by which the back end can cancel it. */
  static final String REQUEST_ID = "X-Request-Id";

  private static final String TRACE_CONTEXT = "traceparent";

  private final ObjectMapper json = new ObjectMapper();

  HttpCall of(Message.Dispatch dispatch, UpstreamKind kind) {
    HttpCall call = dispatch.call();
    byte[] body =
        kind == UpstreamKind.MODEL_ENGINE
            ? withTokenLimit(parse(call.body()), dispatch.maxOutputTokens())
            : call.body();
    return new HttpCall(call.method(), call.path(), headers(dispatch), body);
  }

  private static List<Header> headers(Message.Dispatch dispatch) {
    List<Header> headers = new ArrayList<>();
    for (Header header : dispatch.call().headers()) {
      boolean replaced =
          header.name().equalsIgnoreCase(REQUEST_ID)
              || header.name().equalsIgnoreCase(TRACE_CONTEXT);
      if (!replaced) {
        headers.add(header);
      }
    }
    String id = dispatch.attempt().holder() + "." + dispatch.attempt().sequence();
    headers.add(new Header(REQUEST_ID, id));
    if (!dispatch.traceparent().isEmpty()) {
      headers.add(new Header(TRACE_CONTEXT, dispatch.traceparent()));
    }
    return headers;
  }

  private ObjectNode parse(byte[] body) {
    try {
      JsonNode node = json.readTree(body);
      if (node instanceof ObjectNode object && object.path("n").asLong(1) == 1) {
        return object;
      }
    } catch (IOException e) {
      throw invalidBody().withCause(e);
    }
    throw invalidBody();
  }

  private byte[] withTokenLimit(ObjectNode request, long maxOutputTokens) {
    long requested =
        Math.min(limitOf(request, MAX_TOKENS), limitOf(request, MAX_COMPLETION_TOKENS));
    request.put(MAX_TOKENS, Math.min(requested, maxOutputTokens));
    request.remove(MAX_COMPLETION_TOKENS);
    request.put("stream", true);
    request.putObject("stream_options").put("include_usage", true);
    try {
      return json.writeValueAsBytes(request);
    } catch (IOException e) {
      throw invalidBody().withCause(e);
    }
  }

  private static long limitOf(ObjectNode request, String field) {
    return request.path(field).asLong(Long.MAX_VALUE);
  }

  private static SnipeloomException invalidBody() {
    return SnipeloomException.of(
        ErrorCode.INVALID_REQUEST,
        "the body must be a JSON object that requests exactly one answer");
  }
}
