package io.snipeloom.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.ErrorBody;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.Arrays;

/** A blocking client of the administration API. Thread-safe; must be closed after use. */
final class AdminClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int MAX_RESPONSE_BYTES = 64 << 20;
  private static final JsonMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private final HttpClient client;
  private final String token;
  private final URI address;

  private AdminClient(HttpClient client, String token, URI address) {
    this.client = client;
    this.token = token;
    this.address = address;
  }

  static AdminClient of(URI address, String token) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setReadTimeout(TIMEOUT);
    configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
    return new AdminClient(HttpClient.create(url(address), configuration), token, address);
  }

  private static URL url(URI address) {
    try {
      return address.toURL();
    } catch (MalformedURLException | IllegalArgumentException e) {
      throw SnipeloomException.of(
              ErrorCode.INVALID_REQUEST, "%s is not a valid URL".formatted(address))
          .withCause(e);
    }
  }

  HttpResponse<byte[]> get(String path) {
    return exchange(HttpRequest.GET(path));
  }

  <T> T get(String path, Class<T> type) {
    return parse(get(path).body(), type);
  }

  HttpResponse<byte[]> post(String path, byte[] body) {
    return exchange(HttpRequest.POST(path, body).contentType(MediaType.APPLICATION_JSON_TYPE));
  }

  HttpResponse<byte[]> post(String path, byte[] body, long baseOffset) {
    return exchange(
        HttpRequest.POST(path, body)
            .contentType(MediaType.APPLICATION_JSON_TYPE)
            .header("If-Match", AdminResponses.etag(baseOffset)));
  }

  <T> T parse(byte[] body, Class<T> type) {
    try {
      return MAPPER.readValue(body, type);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.CONNECTION_LOST, "the response could not be parsed")
          .withOrigin("administration", address.toString())
          .withCause(e);
    }
  }

  private HttpResponse<byte[]> exchange(MutableHttpRequest<?> request) {
    try {
      return client.toBlocking().exchange(request.bearerAuth(token), byte[].class);
    } catch (HttpClientResponseException e) {
      throw toException(e);
    } catch (HttpClientException e) {
      throw SnipeloomException.of(ErrorCode.CONNECTION_LOST, "no response from " + address)
          .withOrigin("administration", address.toString())
          .withCause(e);
    }
  }

  private SnipeloomException toException(HttpClientResponseException e) {
    byte[] body = e.getResponse().getBody(byte[].class).orElse(new byte[0]);
    try {
      ErrorBody.Detail error = MAPPER.readValue(body, ErrorBody.class).error();
      return SnipeloomException.of(codeOf(error.code()), error.message())
          .withOrigin(error.step(), address.toString())
          .withRetryAfter(Duration.ofMillis(error.retryAfterMillis()))
          .withViolations(error.violations());
    } catch (JsonProcessingException | NullPointerException notAnErrorBody) {
      return SnipeloomException.of(
              ErrorCode.CONNECTION_LOST, "response with status " + e.getStatus().getCode())
          .withOrigin("administration", address.toString())
          .withCause(notAnErrorBody);
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  private static ErrorCode codeOf(String text) {
    return Arrays.stream(ErrorCode.values())
        .filter(code -> code.text().equals(text))
        .findFirst()
        .orElse(ErrorCode.INTERNAL);
  }

  @Override
  public void close() {
    client.close();
  }
}
