package io.snipeloom.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.routing.ColdReport;
import io.snipeloom.routing.ColdStart;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.Homes;
import io.snipeloom.routing.Replica;
import io.snipeloom.state.CustomerId;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that homes and cold starts are read from the platform's documents, also bad ones. */
class PlacementDecoderTest {
  private static final Optional<CustomerId> CUSTOMER = Optional.of(CustomerId.of("c"));

  @Test
  void homesOfRouteAndCustomerAreDecoded() {
    FleetConfiguration configuration = decode("[\"north\",\"south\"]", "[\"south\"]", "3", "8.4");
    assertThat(
        configuration.homesOf("r", Optional.empty()), is(Homes.of(Set.of("north", "south"))));
    assertThat(configuration.homesOf("r", CUSTOMER), is(Homes.of(Set.of("south"))));
    assertThat(configuration.problems(), is(empty()));
  }

  @Test
  void absentOrEmptyListMeansNoHomes() {
    assertThat(decode("null", "[]", "3", "8.4").homesOf("r", CUSTOMER), is(Homes.EVERYWHERE));
  }

  /** Guards against a list that cannot be read and is taken for no restriction. */
  @Test
  void unreadableHomesAllowNoRegion() {
    for (String homes : new String[] {"\"north\"", "7", "{}", "[7]", "true"}) {
      FleetConfiguration configuration = decode(homes, "[]", "3", "8.4");
      assertThat(homes, configuration.homesOf("r", CUSTOMER), is(Homes.NOWHERE));
      assertThat(configuration.problems(), contains("allowedRegions of r cannot be read"));
    }
  }

  @Test
  void coldStartIsDecoded() {
    assertThat(coldStart("3.0", "8.4"), is(new ColdStart(3_000, 8.4, 8.4)));
    assertThat(coldStart("0.0", "0.0"), is(ColdStart.NONE));
    assertThat(coldStart("null", "null"), is(ColdStart.NONE));
  }

  /** Guards against a rate that cannot be read and is taken for no bound. */
  @Test
  void unreadableColdStartIsBounded() {
    for (String bad : new String[] {"-1", "\"x\"", "[]", "true"}) {
      assertThat(bad, coldStart("3", bad), is(new ColdStart(3_000, 0, 0)));
      assertThat(bad, coldStart(bad, "8.4").isBounded(), is(true));
      assertThat(
          decode("null", "null", bad, "8.4").problems(),
          contains("coldStartS of app cannot be read"));
    }
  }

  @Test
  void coldTimeOfEntryIsDecoded() {
    assertThat(cold("0"), is(ColdReport.of(0)));
    assertThat(cold("2400"), is(ColdReport.of(2_400)));
    assertThat(cold("null"), is(ColdReport.NONE));
    for (String bad : new String[] {"-1", "\"x\"", "1e300", "[]"}) {
      assertThat(bad, cold(bad), is(ColdReport.UNREADABLE));
    }
  }

  @Test
  void coldTimeOfAnyResponseIsDecoded() {
    HttpHeaders headers = new DefaultHttpHeaders();
    PlatformHeaders codec = new PlatformHeaders();
    assertThat(codec.responseMetadata(200, headers).cold(), is(ColdReport.NONE));
    headers.set("Snipeloom-Cold-Ms", "1500");
    assertThat(codec.responseMetadata(200, headers).cold(), is(ColdReport.of(1_500)));
    headers.set("Snipeloom-Cold-Ms", "soon");
    assertThat(codec.responseMetadata(503, headers).cold(), is(ColdReport.UNREADABLE));
  }

  private static ColdStart coldStart(String seconds, String perSecond) {
    return decode("null", "null", seconds, perSecond).service("app").orElseThrow().coldStart();
  }

  private static ColdReport cold(String value) {
    Replica replica =
        ReplicaDecoder.decode(
            "i-1",
            bytes(
                """
                {"service":"app","address":"10.0.0.1:80","zone":"a","version":"v1","slots":6,
                 "state":"ready","sequence":4,"coldRemainingMs":%s}
                """
                    .formatted(value)));
    assertThat(replica.sequence(), is(4L));
    return replica.cold();
  }

  private static FleetConfiguration decode(
      String routeHomes, String customerHomes, String coldStartSeconds, String coldPerSecond) {
    return ConfigurationDecoder.decode(
        bytes(
            """
            {"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","type":"idempotent",
              "timeoutMs":1000,"service":"app","allowedRegions":%s}],
             "services":[{"name":"app","coldStartS":%s,"coldPerS":%s}],
             "tenants":[{"name":"c","apiKeys":[],"allowedRegions":%s}]}
            """
                .formatted(routeHomes, coldStartSeconds, coldPerSecond, customerHomes)));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
