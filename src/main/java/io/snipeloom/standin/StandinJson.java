package io.snipeloom.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;

/**
 * Strict JSON conversion for the stand-ins: unknown keys and values of the wrong type are rejected,
 * and the error message contains their JSON pointer.
 */
final class StandinJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private StandinJson() {}

  /** Parses a request body. */
  static <T> T read(byte[] body, Class<T> type) {
    try {
      T value = JSON.readValue(body == null ? new byte[0] : body, type);
      if (value == null) {
        throw invalid("the request body is null");
      }
      return value;
    } catch (JsonMappingException e) {
      throw toError(e);
    } catch (IOException e) {
      throw invalid("the request body is not valid JSON").withCause(e);
    }
  }

  /** Serializes a value. */
  static byte[] write(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "the value cannot be serialized as JSON")
          .withCause(e);
    }
  }

  private static SnipeloomException toError(JsonMappingException e) {
    if (e.getCause() instanceof SnipeloomException coded) {
      return coded;
    }
    StringBuilder pointer = new StringBuilder();
    for (JsonMappingException.Reference step : e.getPath()) {
      pointer.append('/');
      pointer.append(step.getFieldName() == null ? step.getIndex() : step.getFieldName());
    }
    return invalid("invalid value or unknown key at " + pointer).withCause(e);
  }

  private static SnipeloomException invalid(String message) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, message);
  }
}
