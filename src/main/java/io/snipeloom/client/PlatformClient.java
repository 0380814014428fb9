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
 * Calls a platform service at one address and converts failures to {@link SnipeloomException}s.
 *
 * <p>Thread-safe. Calls block.
 */
final class PlatformClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_RESPONSE_BYTES = 64 << 20;

  private final String peer;
  private final ErrorCode defaultErrorCode;
  private final HttpClient client;

  private PlatformClient(String peer, ErrorCode defaultErrorCode, HttpClient client) {
    this.peer = peer;
    this.defaultErrorCode = defaultErrorCode;
    this.client = client;
  }

  /**
   * Creates a client.
   *
   * @param address the base URL of the service
   * @param defaultErrorCode the code for failures that have no code of their own
   * @param connect the maximum time to open a connection
   * @param read the maximum time to wait for a response
   */
  static PlatformClient of(
      URI address, ErrorCode defaultErrorCode, Duration connect, Duration read) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(connect);
    configuration.setReadTimeout(read);
    configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
    try {
      HttpClient client = HttpClient.create(address.toURL(), configuration);
      return new PlatformClient(address.getAuthority(), defaultErrorCode, client);
    } catch (MalformedURLException | IllegalArgumentException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "not an HTTP URL: " + address)
          .withCause(e);
    }
  }

  /** Serializes a value as JSON. */
  static byte[] json(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "value cannot be serialized as JSON")
          .withCause(e);
    }
  }

  /** Closes all connections. */
  void stop() {
    client.close();
  }

  /**
   * Sends a request and parses the JSON response.
   *
   * @param step the name of the step to report in errors
   * @param type the type of the response body
   * @return the parsed response body
   */
  <T> T call(String step, HttpRequest<?> request, Class<T> type) {
    byte[] body = call(step, request);
    try {
      return JSON.readValue(body, type);
    } catch (IOException e) {
      throw error(defaultErrorCode, "response is not the expected JSON", step).withCause(e);
    }
  }

  /**
   * Sends a request.
   *
   * @param step the name of the step to report in errors
   * @return the response body; empty if the response has none
   */
  byte[] call(String step, HttpRequest<?> request) {
    try {
      HttpResponse<byte[]> response = client.toBlocking().exchange(request, byte[].class);
      return response.getBody().orElseGet(() -> new byte[0]);
    } catch (HttpClientResponseException e) {
      throw errorForStatus(step, e);
    } catch (HttpClientException e) {
      throw error(defaultErrorCode, "no response: " + e.getMessage(), step).withCause(e);
    }
  }

  private SnipeloomException errorForStatus(String step, HttpClientResponseException e) {
    String message = "status " + e.getStatus().getCode();
    if (e.getStatus() == HttpStatus.TOO_MANY_REQUESTS) {
      Duration delay = Duration.ofSeconds(retryAfterSeconds(e.getResponse()));
      return error(ErrorCode.OVERLOADED, message, step).withRetryAfter(delay);
    }
    if (e.getStatus() == HttpStatus.CONFLICT) {
      return error(ErrorCode.FENCED, message, step);
    }
    return error(defaultErrorCode, message, step).withCause(e);
  }

  private static long retryAfterSeconds(HttpResponse<?> response) {
    return response.getHeaders().getFirst("Retry-After", Long.class).orElse(1L);
  }

  private SnipeloomException error(ErrorCode code, String message, String step) {
    return SnipeloomException.of(code, message).withOrigin(step, peer);
  }
}
