package io.snipeloom.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.net.MalformedURLException;
import java.net.URL;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperationsControllerTest {
  private final List<String> reasons = new ArrayList<>();
  private final MetricRegistry registry = new MetricRegistry();
  private HttpHost host;
  private HttpClient client;

  @BeforeEach
  void start() throws MalformedURLException {
    Readiness readiness =
        new Readiness() {
          @Override
          public boolean isReady() {
            return reasons.isEmpty();
          }

          @Override
          public List<String> reasons() {
            return reasons;
          }
        };
    host =
        HttpHost.of(
            OperationsController.SURFACE,
            "127.0.0.1",
            HttpHost.ANY_PORT,
            HttpLimits.standard(),
            registry,
            readiness);
    host.start();
    client = HttpClient.create(new URL("http://127.0.0.1:" + host.port()));
  }

  @AfterEach
  void stop() {
    client.close();
    host.stop();
  }

  @Test
  void metricsAreServedInPrometheusFormat() {
    registry.meter("requests").mark();
    HttpResponse<String> response = client.toBlocking().exchange("/metrics", String.class);
    assertThat(response.getBody(String.class).orElse(""), containsString("_requests_total 1"));
    assertThat(response.header("Content-Type"), containsString("version=0.0.4"));
  }

  @Test
  void readinessReportsItsReasonsUntilTheProcessIsReady() {
    assertThat(client.toBlocking().retrieve("/health"), containsString("up"));
    reasons.add("configuration is not read yet");
    HttpClientResponseException e =
        assertThrows(
            HttpClientResponseException.class, () -> client.toBlocking().retrieve("/ready"));
    assertThat(e.getStatus().getCode(), is(503));
    assertThat(e.getResponse().getBody(String.class).orElse(""), containsString("not read yet"));
    reasons.clear();
    assertThat(client.toBlocking().retrieve("/ready"), containsString("true"));
  }
}
