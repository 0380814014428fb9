package io.snipeloom.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;

/** Strict JSON for the stand-ins: unknown keys and wrong types are refused with their place. */
final class StandinJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private StandinJson() {}

  /** Reads a body. */
  static <T> T read(byte[] body, Class<T> type) {
    try {
      T value = JSON.readValue(body == null ? new byte[0] : body, type);
      if (value == null) {
        throw invalid("body is null");
      }
      return value;
    } catch (JsonMappingException e) {
      throw rootCause(e);
    } catch (IOException e) {
      throw invalid("body is not JSON").withCause(e);
    }
  }

  /** Writes a value. */
  static byte[] write(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "value has no JSON form").withCause(e);
    }
  }

  private static SnipeloomException rootCause(JsonMappingException e) {
    if (e.getCause() instanceof SnipeloomException coded) {
      return coded;
    }
    StringBuilder place = new StringBuilder();
    for (JsonMappingException.Reference step : e.getPath()) {
      place.append('/');
      place.append(step.getFieldName() == null ? step.getIndex() : step.getFieldName());
    }
    return invalid("wrong value or key at " + place).withCause(e);
  }

  private static SnipeloomException invalid(String message) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, message);
  }
}
