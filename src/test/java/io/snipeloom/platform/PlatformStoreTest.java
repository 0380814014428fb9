package io.snipeloom.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.forwarding.AsyncHttpClient;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how responses of the store are judged; a script writes them to the socket. */
class PlatformStoreTest {
  /** More than any response may have, with what the sockets buffer. */
  private static final long MOST_BYTES = 48_000_000;

  /** What the script sends if it is let. */
  private static final long ENOUGH_BYTES = 400_000_000;

  /** With the pause, about 160 KB a second for longer than a call without progress may take. */
  private static final int SLOW_BLOCKS = 25;

  private static final long PAUSE_MILLIS = 100;

  private static final String SILENT_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stopLoops() {
    loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Guards against a listing that was cut off and is taken for an empty topic. */
  @ParameterizedTest
  @ValueSource(strings = {"", "{", "{}", "{\"items\":[]}", "{\"end\":3}"})
  void listingThatWasCutOffIsNotAnEmptyTopic(String body) throws Exception {
    assertThat(list(body), is(StoreOutcome.UNKNOWN));
  }

  @Test
  void wholeListingIsAccepted() throws Exception {
    assertThat(list("{\"items\":[],\"hasMore\":false,\"end\":3}"), is(StoreOutcome.DONE));
  }

  /** Guards against the outcome of a call to a store that has lost what it acknowledged. */
  @Test
  void callsThatAnotherEraAnswersHaveNoOutcome() throws Exception {
    Deque<String> eras =
        new ArrayDeque<>(List.of("3", "3", "4", "3", "4", "x", "9223372036854775807", "4"));
    FakeReplica.Script script =
        (request, socket) -> {
          FakeReplica.write(
              socket,
              "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nStore-Era: %s\r\n\r\n"
                      .formatted(eras.poll())
                  + "{\"items\":[],\"end\":3}");
          return true;
        };
    try (FakeReplica server = FakeReplica.start(script)) {
      PlatformStore store = connect(server);
      List<StoreOutcome> outcomes = new ArrayList<>();
      List<Long> known = new ArrayList<>();
      while (!eras.isEmpty()) {
        outcomes.add(listFrom(store));
        known.add(store.era());
      }
      assertThat(
          outcomes,
          contains(
              StoreOutcome.DONE,
              StoreOutcome.DONE,
              StoreOutcome.REVERTED,
              StoreOutcome.REVERTED,
              StoreOutcome.DONE,
              StoreOutcome.DONE,
              StoreOutcome.DONE,
              StoreOutcome.DONE));
      assertThat(known, contains(3L, 3L, 4L, 4L, 4L, 4L, 4L, 4L));
    }
  }

  /** Guards against an answer of the store that breaks off and is taken for an empty topic. */
  @Test
  void listingThatBreaksOffHasNoOutcome() throws Exception {
    String body = "{\"items\":[],\"hasMore\":false,\"end\":3}";
    String answer =
        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nStore-Era: 3\r\n\r\n%s"
            .formatted(body.length(), body);
    for (int bytes = 0; bytes <= answer.length(); bytes++) {
      String begun = answer.substring(0, bytes);
      StoreOutcome outcome =
          list(
              (request, socket) -> {
                FakeReplica.write(socket, begun);
                return false;
              });
      boolean whole = bytes == answer.length();
      assertThat("after " + bytes, outcome, is(whole ? StoreOutcome.DONE : StoreOutcome.UNKNOWN));
    }
  }

  /** Guards against a connection that falls silent within an answer and counts as an outage. */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1", SILENT_HEAD, SILENT_HEAD + "{\"items\":["})
  void listingThatFallsSilentIsMadeAgain(String begun) throws Exception {
    AtomicInteger calls = new AtomicInteger();
    FakeReplica.Script script =
        (request, socket) -> {
          if (calls.incrementAndGet() > 1) {
            FakeReplica.write(socket, SILENT_HEAD + "{\"items\":[],\"end\":3}");
            return true;
          }
          FakeReplica.write(socket, begun);
          socket.getInputStream().read();
          return false;
        };
    assertThat(list(script), is(StoreOutcome.DONE));
    assertThat("calls", calls.get(), is(2));
  }

  /** Guards against a body that fills the memory until the call times out. */
  @Test
  void endlessListingIsCutOff() throws Exception {
    CompletableFuture<Long> sentBytes = new CompletableFuture<>();
    String block = " ".repeat(65_536);
    FakeReplica.Script script =
        (request, socket) -> {
          long sent = 0;
          try {
            FakeReplica.write(socket, "HTTP/1.1 200 OK\r\n\r\n");
            while (sent < ENOUGH_BYTES) {
              FakeReplica.write(socket, block);
              sent += block.length();
            }
          } finally {
            sentBytes.complete(sent);
          }
          return false;
        };
    assertThat(list(script), is(StoreOutcome.UNKNOWN));
    assertThat("bytes sent", sentBytes.get(10, TimeUnit.SECONDS), lessThan(MOST_BYTES));
  }

  /** Guards against a long listing that is given up and begun again because the link is slow. */
  @Test
  void listingThatArrivesSlowlyIsReceived() throws Exception {
    String block = " ".repeat(16_384);
    AtomicInteger calls = new AtomicInteger();
    assertThat(
        list(
            (request, socket) -> {
              calls.incrementAndGet();
              FakeReplica.write(socket, "HTTP/1.1 200 OK\r\n\r\n{\"items\":[],");
              for (int i = 0; i < SLOW_BLOCKS; i++) {
                FakeReplica.write(socket, block);
                Thread.sleep(PAUSE_MILLIS);
              }
              FakeReplica.write(socket, "\"hasMore\":false,\"end\":3}");
              return false;
            }),
        is(StoreOutcome.DONE));
    assertThat("calls", calls.get(), is(1));
  }

  /** Guards against a listing that sends a byte now and then and never ends. */
  @Test
  void listingThatTricklesIsCutOff() throws Exception {
    CompletableFuture<Void> cutOff = new CompletableFuture<>();
    FakeReplica.Script script =
        (request, socket) -> {
          FakeReplica.write(socket, "HTTP/1.1 200 OK\r\n\r\n{\"items\":[],");
          try {
            while (true) {
              FakeReplica.write(socket, " ");
              Thread.sleep(PAUSE_MILLIS);
            }
          } catch (java.io.IOException e) {
            cutOff.complete(null);
          }
          return false;
        };
    assertThat(list(script), is(StoreOutcome.UNKNOWN));
    cutOff.get(10, TimeUnit.SECONDS);
  }

  /** Lists a topic of a store that sends a body without a length and closes the connection. */
  private StoreOutcome list(String body) throws Exception {
    return list(
        (request, socket) -> {
          FakeReplica.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + body);
          return false;
        });
  }

  private StoreOutcome list(FakeReplica.Script script) throws Exception {
    try (FakeReplica server = FakeReplica.start(script)) {
      return listFrom(connect(server));
    }
  }

  private PlatformStore connect(FakeReplica server) {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    return new PlatformStore(
        new AsyncHttpClient(
            loops.next(), address, new LinkTraffic().meter(LinkTraffic.Purpose.STORE), () -> {}),
        foreign -> {});
  }

  private StoreOutcome listFrom(PlatformStore store) throws Exception {
    CompletableFuture<StoreOutcome> outcome = new CompletableFuture<>();
    loops
        .next()
        .execute(() -> store.newest("servers", 0, "", (result, page) -> outcome.complete(result)));
    return outcome.get(10, TimeUnit.SECONDS);
  }
}
