package io.snipeloom.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URI;
import java.time.Duration;

/**
 * Calls one address of a platform service and turns every failure into a coded error.
 *
 * <p>Thread-safe; calls block.
 */
final class PlatformClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ANSWER_BYTES = 64 << 20;

  private final String peer;
  private final ErrorCode failure;
  private final HttpClient client;

  private PlatformClient(String peer, ErrorCode failure, HttpClient client) {
    this.peer = peer;
    this.failure = failure;
    this.client = client;
  }

  /**
   * Returns a client.
   *
   * @param address the base address of the service
   * @param failure the code of an error without an answer
   * @param connect the most time to open a connection
   * @param read the most time to wait for an answer
   * @return the client
   */
  static PlatformClient of(URI address, ErrorCode failure, Duration connect, Duration read) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(connect);
    configuration.setReadTimeout(read);
    configuration.setMaxContentLength(MAX_ANSWER_BYTES);
    try {
      HttpClient client = HttpClient.create(address.toURL(), configuration);
      return new PlatformClient(address.getAuthority(), failure, client);
    } catch (MalformedURLException | IllegalArgumentException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "not an HTTP address: " + address)
          .withCause(e);
    }
  }

  /** Writes a value as JSON. */
  static byte[] json(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "value has no JSON form").withCause(e);
    }
  }

  /** Closes all connections. */
  void stop() {
    client.close();
  }

  /**
   * Makes a call and reads its JSON answer.
   *
   * @param step the step, for errors
   * @param request the request
   * @param type the type of the answer
   * @return the answer
   */
  <T> T call(String step, HttpRequest<?> request, Class<T> type) {
    byte[] body = call(step, request);
    try {
      return JSON.readValue(body, type);
    } catch (IOException e) {
      throw error(failure, "answer is not the expected JSON", step).withCause(e);
    }
  }

  /**
   * Makes a call.
   *
   * @param step the step, for errors
   * @param request the request
   * @return the body of the answer
   */
  byte[] call(String step, HttpRequest<?> request) {
    try {
      HttpResponse<byte[]> response = client.toBlocking().exchange(request, byte[].class);
      return response.getBody().orElseGet(() -> new byte[0]);
    } catch (HttpClientResponseException e) {
      throw refusal(step, e);
    } catch (HttpClientException e) {
      throw error(failure, "no answer: " + e.getMessage(), step).withCause(e);
    }
  }

  private SnipeloomException refusal(String step, HttpClientResponseException e) {
    String message = "status " + e.getStatus().getCode();
    if (e.getStatus() == HttpStatus.TOO_MANY_REQUESTS) {
      Duration delay = Duration.ofSeconds(retryAfterSeconds(e.getResponse()));
      return error(ErrorCode.OVERLOADED, message, step).withRetryAfter(delay);
    }
    if (e.getStatus() == HttpStatus.CONFLICT) {
      return error(ErrorCode.FENCED, message, step);
    }
    return error(failure, message, step).withCause(e);
  }

  private static long retryAfterSeconds(HttpResponse<?> response) {
    return response.getHeaders().getFirst("Retry-After", Long.class).orElse(1L);
  }

  private SnipeloomException error(ErrorCode code, String message, String step) {
    return SnipeloomException.of(code, message).withOrigin(step, peer);
  }
}
