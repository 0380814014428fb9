package io.snipeloom.transport;

import com.google.common.flogger.FluentLogger;
import io.micronaut.context.annotation.Primary;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.Error;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import jakarta.inject.Singleton;
import java.util.concurrent.TimeUnit;

/**
 * Renders every HTTP error response as an {@link ErrorBody}, including the errors that the server
 * raises itself, such as unknown routes, malformed JSON and oversized bodies.
 */
@Singleton
@Primary
public final class ErrorResponses implements ErrorResponseProcessor<ErrorBody> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_MESSAGE_CHARACTERS = 300;
  private static final long MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

  /** Returns the error response for an exception, with its status code and headers. */
  public static MutableHttpResponse<ErrorBody> of(SnipeloomException exception) {
    HttpStatus status = HttpStatus.valueOf(exception.code().httpStatus());
    return withErrorBody(HttpResponse.status(status), exception);
  }

  @Override
  public MutableHttpResponse<ErrorBody> processResponse(
      ErrorContext context, MutableHttpResponse<?> response) {
    Throwable cause = context.getRootCause().orElse(null);
    if (cause instanceof SnipeloomException exception) {
      response.status(exception.code().httpStatus());
      return withErrorBody(response, exception);
    }
    ErrorCode code = errorCodeFor(response.code());
    if (code == ErrorCode.INTERNAL) {
      logger.atWarning().withCause(cause).log("event=request.failed status=%d", response.code());
      return withErrorBody(response, SnipeloomException.of(code, "internal server error"));
    }
    return withErrorBody(
        response, SnipeloomException.of(code, truncatedMessage(context, response)));
  }

  private static MutableHttpResponse<ErrorBody> withErrorBody(
      MutableHttpResponse<?> response, SnipeloomException exception) {
    if (exception.retryAfterMillis() > 0) {
      long seconds = (exception.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.header(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
    }
    if (exception.code() == ErrorCode.UNAUTHENTICATED) {
      response.header(HttpHeaders.WWW_AUTHENTICATE, "Bearer");
    }
    return response.body(ErrorBody.of(exception)).contentType(MediaType.APPLICATION_JSON_TYPE);
  }

  private static ErrorCode errorCodeFor(int status) {
    return switch (status) {
      case 401 -> ErrorCode.UNAUTHENTICATED;
      case 403 -> ErrorCode.FORBIDDEN;
      case 404 -> ErrorCode.NOT_FOUND;
      case 413 -> ErrorCode.BODY_TOO_LARGE;
      default -> status >= 500 ? ErrorCode.INTERNAL : ErrorCode.INVALID_REQUEST;
    };
  }

  private static String truncatedMessage(ErrorContext context, MutableHttpResponse<?> response) {
    String text =
        context.getErrors().stream().findFirst().map(Error::getMessage).orElse(response.reason());
    return text.length() <= MAX_MESSAGE_CHARACTERS
        ? text
        : text.substring(0, MAX_MESSAGE_CHARACTERS) + "...";
  }
}
