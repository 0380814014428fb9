package io.snipeloom.transport;

import io.micronaut.context.annotation.Secondary;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import io.snipeloom.state.SnipeloomException;
import jakarta.inject.Singleton;

/**
 * Converts exceptions thrown by controllers and filters to error responses. An API can define its
 * own handler, which then takes precedence.
 */
@Singleton
@Secondary
public final class SnipeloomExceptionHandler
    implements ExceptionHandler<SnipeloomException, HttpResponse<ErrorBody>> {

  @Override
  @SuppressWarnings("rawtypes")
  public HttpResponse<ErrorBody> handle(HttpRequest request, SnipeloomException exception) {
    return ErrorResponses.of(exception);
  }
}
