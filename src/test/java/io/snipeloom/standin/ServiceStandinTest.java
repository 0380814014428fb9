package io.snipeloom.standin;

import static io.snipeloom.standin.StandinFixture.uri;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceStandinTest {
  private final ServiceStandin service = ServiceStandin.of(StandinAddress.anyPort(), "booking");
  private HttpClient http;
  private HttpClient admin;

  @BeforeEach
  void start() throws IOException {
    service.start();
    http = HttpClient.create(uri(service.port()).toURL());
    admin = HttpClient.create(uri(service.adminPort()).toURL());
  }

  @AfterEach
  void stop() {
    http.close();
    admin.close();
    service.stop();
  }

  @Test
  void effectsAreCountedByKeyAndBody() {
    assertThat(charge("k1", "{\"deposit\":1}"), containsString("\"effect\":1"));
    assertThat(charge("k1", "{\"deposit\":1}"), containsString("\"effect\":2"));
    assertThat(charge("k2", "{\"deposit\":1}"), containsString("\"key\":\"k2\""));
    assertThat(service.effects().ofKey("k1"), is(2L));
    assertThat(service.effects().ofKey("k2"), is(1L));
    assertThat(service.effects().bodies().get(0).count(), is(3L));
    assertThat(admin.toBlocking().retrieve("/effects"), containsString("\"total\":3"));
  }

  @Test
  void getRequestHasNoEffect() {
    assertThat(http.toBlocking().retrieve("/rooms/7/slots?day=1"), containsString("/rooms/7"));
    assertThat(service.effects().total(), is(0L));
  }

  @Test
  void effectIsCountedWhenResponseIsDropped() {
    setFaults("{\"loseAnswerAfterWrite\":1}");
    assertThrows(HttpClientException.class, () -> charge("k1", "x"));
    assertThat(service.effects().ofKey("k1"), is(1L));
    charge("k2", "x");
    assertThat(service.effects().total(), is(2L));
  }

  @Test
  void sameSeedDropsSameResponses() {
    assertThat(dropPattern(16, 7), is(dropPattern(16, 7)));
  }

  @Test
  void invalidFaultsAreRejectedWithErrorCodeOrField() {
    assertThat(errorBody("{\"delayMillis\":-1}"), containsString("/delayMillis"));
    assertThat(errorBody("{\"slow\":true}"), containsString("/slow"));
    assertThat(errorBody("{"), containsString("invalid.request"));
    assertThat(service.faults().faults(), is(Faults.none()));
  }

  @Test
  void configuredFaultsAreReported() {
    setFaults("{\"delayMillis\":3,\"gapEvery\":2}");
    assertThat(admin.toBlocking().retrieve("/faults"), containsString("\"gapEvery\":2"));
    assertThat(service.faults().faults(), is(Faults.none().withDelayMillis(3).withGapEvery(2)));
  }

  private String dropPattern(int calls, long seed) {
    FaultControl control = new FaultControl();
    control.set(Faults.none().withDroppedResponses(0.5, seed));
    StringBuilder dropped = new StringBuilder();
    for (int i = 0; i < calls; i++) {
      dropped.append(control.shouldDropResponse() ? 'x' : '.');
    }
    return dropped.toString();
  }

  private String charge(String key, String body) {
    return http.toBlocking()
        .retrieve(HttpRequest.POST("/deposits", body).header("Idempotency-Key", key));
  }

  private void setFaults(String body) {
    admin.toBlocking().retrieve(HttpRequest.PUT("/faults", body));
  }

  private String errorBody(String body) {
    HttpClientResponseException e =
        assertThrows(HttpClientResponseException.class, () -> setFaults(body));
    assertThat(e.getStatus(), is(HttpStatus.BAD_REQUEST));
    return e.getResponse().getBody(String.class).orElse("");
  }
}
