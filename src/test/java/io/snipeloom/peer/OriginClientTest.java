package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.resumption.PeerAnswer;
import io.snipeloom.spend.LoanRequest;
import io.snipeloom.state.CustomerId;
import io.snipeloom.telemetry.LinkTraffic;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests questions to instances that answer, are silent, are gone, or do not know the question. */
@Timeout(30)
class OriginClientTest {
  private static final long ANSWER_NANOS = 250_000_000L;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final OriginClient client = new OriginClient(loop, new LinkTraffic());
  private final List<ServerSocket> peers = new ArrayList<>();
  private long askedNanos;
  private volatile long answeredNanos;

  @AfterEach
  void stop() throws IOException {
    for (ServerSocket peer : peers) {
      peer.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  /** Asks until the code is loaded, which takes longer than the answers are waited for. */
  @BeforeEach
  void warmUp() throws Exception {
    InetSocketAddress live = serve((message, out) -> answer("live", message, out));
    while (ask(Map.of("warm-up", live)).isEmpty()) {
      Thread.sleep(10);
    }
    peers.remove(0).close();
  }

  @Test
  void answersOfAllInstancesArePassedOn() throws Exception {
    InetSocketAddress one = serve((message, out) -> answer("one", message, out));
    InetSocketAddress two = serve((message, out) -> answer("two", message, out));
    assertThat(ask(Map.of("one", one, "two", two)), containsInAnyOrder("one", "two"));
  }

  /** Guards against a caller that waits for an instance that is suspended. */
  @Test
  void silentInstanceDelaysTheAnswersForLittleTime() throws Exception {
    InetSocketAddress live = serve((message, out) -> answer("live", message, out));
    InetSocketAddress silent = serve((message, out) -> {});
    assertThat(ask(Map.of("live", live, "silent", silent)), contains("live"));
    assertThat(answeredNanos - askedNanos, is(lessThanOrEqualTo(ANSWER_NANOS)));
  }

  @Test
  void instanceThatIsGoneDelaysNothing() throws Exception {
    InetSocketAddress live = serve((message, out) -> answer("live", message, out));
    InetSocketAddress gone = serve((message, out) -> {});
    peers.get(1).close();
    assertThat(ask(Map.of("live", live, "gone", gone)), contains("live"));
    assertThat(ask(Map.of("gone", gone)), is(empty()));
  }

  /** Guards against a loan that is lost with a question which an older instance does not know. */
  @Test
  void olderInstanceThatClosesTheConnectionKeepsItsConnectionForLoans() throws Exception {
    InetSocketAddress older = serve(OriginClientTest::answerAsBefore);
    InetSocketAddress live = serve((message, out) -> answer("live", message, out));
    LoanConnection loans = new LoanConnection(loop, older, new LinkTraffic());
    assertThat(borrow(loans).get(5, TimeUnit.SECONDS), is(1_000L));
    CompletableFuture<Long> during = borrow(loans);
    assertThat(ask(Map.of("older", older, "live", live)), contains("live"));
    assertThat(ask(Map.of("older", older, "live", live)), contains("live"));
    assertThat(during.get(5, TimeUnit.SECONDS), is(1_000L));
    assertThat(borrow(loans).get(5, TimeUnit.SECONDS), is(1_000L));
  }

  private CompletableFuture<Long> borrow(LoanConnection loans) {
    CompletableFuture<Long> lent = new CompletableFuture<>();
    LoanRequest request = new LoanRequest(CustomerId.of("customer"), 1_000, 5_000);
    loop.execute(() -> loans.request(request, lent::complete));
    return lent;
  }

  /** Asks instances; returns the incarnations that answered. */
  private List<String> ask(Map<String, InetSocketAddress> addresses) throws Exception {
    CompletableFuture<List<PeerAnswer>> answers = new CompletableFuture<>();
    loop.submit(
            () -> {
              client.updatePeers(addresses);
              askedNanos = System.nanoTime();
              client.ask(
                  List.of("a"),
                  received -> {
                    answeredNanos = System.nanoTime();
                    answers.complete(received);
                  });
            })
        .get(10, TimeUnit.SECONDS);
    return answers.get(10, TimeUnit.SECONDS).stream().map(PeerAnswer::incarnation).toList();
  }

  /** Responds in place of an instance; an exception closes the connection. */
  private interface Script {
    void respond(PeerMessage message, DataOutputStream out) throws IOException;
  }

  private static void answer(String incarnation, PeerMessage message, DataOutputStream out)
      throws IOException {
    if (message instanceof OriginMessage.Request request) {
      PeerAnswer answer = new PeerAnswer(incarnation, true, List.of());
      send(out, new OriginMessage.Response(request.correlationId(), answer));
    }
  }

  private static void answerAsBefore(PeerMessage message, DataOutputStream out) throws IOException {
    if (!(message instanceof LoanMessage.Request request)) {
      throw new IOException("unsupported version");
    }
    send(out, new LoanMessage.Response(request.correlationId(), 1_000));
  }

  private static void send(DataOutputStream out, PeerMessage message) throws IOException {
    byte[] bytes = message.toBytes();
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  private InetSocketAddress serve(Script script) throws IOException {
    ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    peers.add(listener);
    startThread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            startThread(() -> respond(socket, script));
          }
        });
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  private static void respond(Socket socket, Script script) throws IOException {
    try (socket) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      while (true) {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        script.respond(PeerMessage.parse(frame), out);
      }
    }
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void startThread(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The test has ended or a connection was closed.
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
