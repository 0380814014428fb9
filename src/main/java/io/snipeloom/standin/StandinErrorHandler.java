package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import io.snipeloom.state.SnipeloomException;
import jakarta.inject.Singleton;

/** Renders coded errors of the stand-ins as JSON. */
@Singleton
@Requires(beans = FaultControl.class)
final class StandinErrorHandler implements ExceptionHandler<SnipeloomException, HttpResponse<?>> {
  private static final long MILLIS_PER_SECOND = 1000;

  StandinErrorHandler() {}

  @Override
  @SuppressWarnings("rawtypes")
  public HttpResponse<?> handle(HttpRequest request, SnipeloomException e) {
    StandinError body = StandinError.of(e.code().text(), e.getMessage());
    MutableHttpResponse<byte[]> response =
        HttpResponse.<byte[]>status(HttpStatus.valueOf(e.code().httpStatus()))
            .body(StandinJson.write(body))
            .contentType(MediaType.APPLICATION_JSON_TYPE);
    if (e.retryAfterMillis() > 0) {
      long seconds = Math.max(1, e.retryAfterMillis() / MILLIS_PER_SECOND);
      response.header("Retry-After", Long.toString(seconds));
    }
    return response;
  }
}
