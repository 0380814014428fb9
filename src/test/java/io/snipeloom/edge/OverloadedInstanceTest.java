package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs four instances, of which one reads its connections too late to keep up. */
@Timeout(90)
class OverloadedInstanceTest {
  private static final int INSTANCES = 4;
  private static final long BLOCKED_MILLIS = 250;
  private static final String CLOSE = "connection: close";

  private final AtomicBoolean blocked = new AtomicBoolean(true);
  private final List<EdgeFixture> fleet = new ArrayList<>();
  private FakeReplica replica;

  @BeforeEach
  void startFleet() throws Exception {
    FakeStore store = FakeStore.start();
    for (int i = 1; i <= INSTANCES; i++) {
      fleet.add(new EdgeFixture("edge-" + i, store));
    }
    replica =
        FakeReplica.start(
            (request, socket) -> {
              FakeReplica.write(
                  socket, FakeReplica.completeResponse(request.attempt(), 200, "read"));
              return true;
            });
    overloaded().configureWithoutTotal(1);
    overloaded().register("i-1", "app", replica, "ready");
    for (EdgeFixture edge : fleet) {
      edge.awaitReady();
    }
    overloaded().awaitLog("event=peer_demand known=true");
    // What is usual has to be known before anything can take longer.
    overloaded().awaitMatch(".*event=link round_trip_ms=[0-9].*");
  }

  @AfterEach
  void stopFleet() throws IOException {
    blocked.set(false);
    for (EdgeFixture edge : fleet) {
      edge.close();
    }
    replica.close();
  }

  private EdgeFixture overloaded() {
    return fleet.get(0);
  }

  /**
   * Guards against the incident SHORT: callers stay at an instance that cannot keep up, while the
   * others are idle. It serves what it has, is not ready, and closes connections after a while.
   */
  @Test
  void callersAreSentToOtherInstances() throws Exception {
    assertThat(answerOnKeptConnection("before"), not(containsString(CLOSE)));
    overloaded().blockEachRound(BLOCKED_MILLIS, blocked::get);
    overloaded().awaitLog("event=link_overload overloaded=true");
    assertThat(overloaded().isReady(), is(false));
    while (!answerOnKeptConnection("overloaded").contains(CLOSE)) {
      Thread.sleep(100);
    }
    assertThat(overloaded().send("/status/1", "last", ""), endsWith("read"));
    for (EdgeFixture other : fleet.subList(1, INSTANCES)) {
      assertThat(other.isReady(), is(true));
    }
    blocked.set(false);
    overloaded().awaitLog("event=link_overload overloaded=false");
    assertThat(overloaded().isReady(), is(true));
    assertThat(answerOnKeptConnection("after"), not(containsString(CLOSE)));
  }

  /**
   * Guards against the incident SHORT: an instance that is too slow to connect to replicas tries
   * one after the other, takes them for unreachable, and lets the caller come back late.
   */
  @Test
  void requestWhoseReplicaIsNotReachedInTimeMayComeBackAtOnce() throws Exception {
    try (UnansweredListener listener = new UnansweredListener()) {
      for (EdgeFixture edge : fleet) {
        edge.registerAt("i-2", "none", listener.port());
        edge.awaitLog("event=replica replica=i-2 ");
      }
      overloaded().blockEachRound(BLOCKED_MILLIS, blocked::get);
      overloaded().awaitLog("event=link_overload overloaded=true");
      String answer = overloaded().send("/unserved/1", "unreached", "");
      assertThat(answer, startsWith("HTTP/1.1 503"));
      assertThat(retryAfterSeconds(answer), is(lessThan(0.2)));
      String failures = overloaded().linesWith("event=attempt_failed id=unreached ");
      assertThat(failures.lines().count(), is(1L));
    }
  }

  private static double retryAfterSeconds(String answer) {
    return answer
        .lines()
        .map(line -> line.toLowerCase(Locale.ROOT))
        .filter(line -> line.startsWith("retry-after: "))
        .mapToDouble(line -> Double.parseDouble(line.substring("retry-after: ".length())))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the answer to a request whose caller would keep its connection. */
  private String answerOnKeptConnection(String attempt) throws IOException {
    try (Socket caller = overloaded().open()) {
      FakeReplica.write(caller, EdgeFixture.request("/status/1", attempt, "", false));
      StringBuilder answer = new StringBuilder();
      while (!answer.toString().endsWith("read")) {
        answer.append((char) caller.getInputStream().read());
      }
      return answer.toString().toLowerCase(Locale.ROOT);
    }
  }
}
