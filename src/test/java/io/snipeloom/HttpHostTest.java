package io.snipeloom;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micronaut.http.client.HttpClient;
import io.snipeloom.state.Zone;
import io.snipeloom.transport.HttpHost;
import io.snipeloom.transport.HttpLimits;
import java.net.URL;
import org.junit.jupiter.api.Test;

class HttpHostTest {
  @Test
  void servesControllersOfItsSurface() throws Exception {
    HttpHost host =
        HttpHost.of(
            "ping", "127.0.0.1", HttpHost.ANY_PORT, HttpLimits.standard(), Zone.of("zone-a"));
    host.start();
    try (HttpClient client = HttpClient.create(new URL("http://127.0.0.1:" + host.port()))) {
      assertThat(client.toBlocking().retrieve("/ping"), is("zone-a"));
    } finally {
      host.stop();
    }
  }
}
