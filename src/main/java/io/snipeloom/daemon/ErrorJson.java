package io.snipeloom.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.ErrorBody;

/** Renders errors as JSON for event streams that have started. Stateless and thread-safe. */
final class ErrorJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ErrorJson() {}

  /** Returns the {@link ErrorBody} of an error in JSON. */
  static String of(SnipeloomException error) {
    try {
      return MAPPER.writeValueAsString(ErrorBody.of(error));
    } catch (JsonProcessingException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot write an error").withCause(e);
    }
  }
}
