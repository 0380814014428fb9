package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.spend.CustomerHolders;
import io.snipeloom.spend.LoanPeers;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests borrowing from a peer whose responses are late, duplicate, malformed or missing. */
@Timeout(30)
class LoanClientTest {
  private static final LoanRequest REQUEST =
      new LoanRequest(CustomerId.of("customer"), 1_000, 5_000);

  private static final CustomerHolders LARGE_FLEET =
      new CustomerHolders(
          "own",
          Set.of("edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7", "edge-8"));

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LoanClient client = new LoanClient(loop, new LinkTraffic(), new Random(1));
  private ServerSocket peer;

  @BeforeEach
  void listen() throws IOException {
    peer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  @Test
  void duplicateResponseIsIgnored() throws Exception {
    serve(
        (request, out) -> {
          send(out, new LoanMessage.Response(request.correlationId(), 4_000));
          send(out, new LoanMessage.Response(request.correlationId(), 4_000));
        });
    LoanResult result = borrow();
    assertThat(result.isDone(), is(true));
    assertThat(borrow().tokens, contains(4_000L));
    assertThat(
        "the duplicate response matches no pending request", result.tokens, contains(4_000L));
  }

  @Test
  void tokensFromLateResponseAreAccepted() throws Exception {
    CountDownLatch mayRespond = new CountDownLatch(1);
    serve(
        (request, out) -> {
          await(mayRespond);
          send(out, new LoanMessage.Response(request.correlationId(), 4_000));
        });
    LoanResult result = borrow();
    assertThat("a peer that does not respond delays no caller", result.isDone(), is(true));
    assertThat(result.tokens, empty());
    mayRespond.countDown();
    result.first.get(10, TimeUnit.SECONDS);
    assertThat(result.tokens, contains(4_000L));
  }

  @Test
  void malformedFrameLendsNothing() throws Exception {
    serve((request, out) -> out.write(new byte[] {0, 0, 0, 2, 9, 9}));
    LoanResult result = borrow();
    assertThat(result.isDone(), is(true));
    assertThat(result.tokens, empty());
  }

  @Test
  void borrowWithoutPeersCompletesImmediately() throws Exception {
    LoanResult result = new LoanResult();
    loop.submit(() -> client.borrow(REQUEST, result)).get(10, TimeUnit.SECONDS);
    assertThat(result.isDone(), is(true));
  }

  @Test
  void borrowCompletesWhenPeerRefusesConnection() throws Exception {
    InetSocketAddress address = new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort());
    peer.close();
    LoanResult result = new LoanResult();
    loop.submit(
            () -> {
              client.updatePeers(
                  Map.of("peer", address), new CustomerHolders("own", Set.of("peer")));
              client.borrow(REQUEST, result);
            })
        .get(10, TimeUnit.SECONDS);
    assertThat(result.isDone(), is(true));
  }

  /**
   * Guards against tokens that lie in pieces at several instances, of which none serves a request.
   */
  @Test
  void secondHolderIsNotAskedWhenTheFirstLendsEnough() throws Exception {
    List<String> asked = new CopyOnWriteArrayList<>();
    try (ServerSocket other = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      List<String> holders = LARGE_FLEET.othersOf(REQUEST.customer());
      serve(peer, (request, out) -> answer(asked, holders.get(0), request, out, 1_000));
      serve(other, (request, out) -> answer(asked, holders.get(1), request, out, 1_000));
      LoanResult result = borrowFrom(Map.of(holders.get(0), peer, holders.get(1), other));
      assertThat(result.isDone(), is(true));
      assertThat(result.tokens, contains(1_000L));
      assertThat(asked, contains(holders.get(0)));
    }
  }

  /** Guards against a request that is refused because the first holder is frozen or gone. */
  @Test
  void nextHolderIsAskedWhenTheFirstIsSilent() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      List<String> holders = LARGE_FLEET.othersOf(REQUEST.customer());
      serve(peer, (request, out) -> {});
      serve(other, (request, out) -> send(out, response(request, 1_000)));
      LoanResult result = borrowFrom(Map.of(holders.get(0), peer, holders.get(1), other));
      assertThat(result.isDone(), is(true));
      assertThat(result.tokens, contains(1_000L));
    }
  }

  /** Guards against an exception when the next holder has left the fleet before it is asked. */
  @Test
  void holderThatHasLeftMeanwhileIsPassedOver() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      List<String> holders = LARGE_FLEET.othersOf(REQUEST.customer());
      serve(peer, (request, out) -> {});
      serve(other, (request, out) -> send(out, response(request, 1_000)));
      Map<String, InetSocketAddress> all =
          addresses(Map.of(holders.get(0), peer, holders.get(1), peer, holders.get(2), other));
      Map<String, InetSocketAddress> left = new HashMap<>(all);
      left.remove(holders.get(1));
      LoanResult result = new LoanResult();
      loop.submit(
              () -> {
                client.updatePeers(all, LARGE_FLEET);
                client.borrow(REQUEST, result);
                client.updatePeers(left, LARGE_FLEET);
              })
          .get(10, TimeUnit.SECONDS);
      assertThat(result.isDone(), is(true));
      assertThat(result.first.get(10, TimeUnit.SECONDS), is(1_000L));
    }
  }

  /** Guards against a request that is written to a connection that is not open yet, and lost. */
  @Test
  void requestsMadeWhileTheConnectionOpensAreAllSent() throws Exception {
    serve((request, out) -> send(out, response(request, 1_000)));
    InetSocketAddress address = new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort());
    CompletableFuture<Long> first = new CompletableFuture<>();
    CompletableFuture<Long> second = new CompletableFuture<>();
    LoanConnection connection = new LoanConnection(loop, address, new LinkTraffic());
    loop.execute(
        () -> {
          connection.request(REQUEST, first::complete);
          connection.request(REQUEST, second::complete);
        });
    assertThat(first.get(5, TimeUnit.SECONDS), is(1_000L));
    assertThat(second.get(5, TimeUnit.SECONDS), is(1_000L));
  }

  /** Guards against a holder with few tokens that leaves the request short. */
  @Test
  void nextHolderIsAskedForTheRest() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      List<String> holders = LARGE_FLEET.othersOf(REQUEST.customer());
      serve(peer, (request, out) -> send(out, response(request, 300)));
      serve(other, (request, out) -> send(out, response(request, request.loan().missingTokens())));
      LoanResult result = borrowFrom(Map.of(holders.get(0), peer, holders.get(1), other));
      assertThat(result.isDone(), is(true));
      assertThat(result.tokens, contains(300L, 700L));
    }
  }

  private static void answer(
      List<String> asked, String name, LoanMessage.Request request, DataOutputStream out, long lent)
      throws IOException {
    asked.add(name);
    send(out, response(request, lent));
  }

  private static LoanMessage.Response response(LoanMessage.Request request, long tokens) {
    return new LoanMessage.Response(request.correlationId(), tokens);
  }

  private LoanResult borrowFrom(Map<String, ServerSocket> peers) throws Exception {
    Map<String, InetSocketAddress> addresses = addresses(peers);
    LoanResult result = new LoanResult();
    loop.submit(
            () -> {
              client.updatePeers(addresses, LARGE_FLEET);
              client.borrow(REQUEST, result);
            })
        .get(10, TimeUnit.SECONDS);
    return result;
  }

  private static Map<String, InetSocketAddress> addresses(Map<String, ServerSocket> peers) {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    peers.forEach(
        (name, socket) ->
            addresses.put(
                name, new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort())));
    return addresses;
  }

  private LoanResult borrow() throws Exception {
    InetSocketAddress address = new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort());
    LoanResult result = new LoanResult();
    loop.submit(
            () -> {
              client.updatePeers(
                  Map.of("peer", address), new CustomerHolders("own", Set.of("peer")));
              client.borrow(REQUEST, result);
            })
        .get(10, TimeUnit.SECONDS);
    result.isDone();
    return result;
  }

  /** Responds to a request in place of a peer. */
  private interface Script {
    void respond(LoanMessage.Request request, DataOutputStream out) throws IOException;
  }

  private void serve(Script script) {
    serve(peer, script);
  }

  private static void serve(ServerSocket listener, Script script) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = listener.accept()) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                while (true) {
                  byte[] frame = new byte[in.readInt()];
                  in.readFully(frame);
                  script.respond((LoanMessage.Request) LoanMessage.parse(frame), out);
                }
              } catch (IOException e) {
                // The test has ended or the client closed the connection.
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void send(DataOutputStream out, LoanMessage message) throws IOException {
    byte[] bytes = message.toBytes();
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static final class LoanResult implements LoanPeers.Listener {
    final List<Long> tokens = new CopyOnWriteArrayList<>();
    final CompletableFuture<Long> first = new CompletableFuture<>();
    private final CountDownLatch done = new CountDownLatch(1);

    @Override
    public void onLent(long lent) {
      tokens.add(lent);
      first.complete(lent);
    }

    @Override
    public void onDone() {
      done.countDown();
    }

    boolean isDone() throws InterruptedException {
      return done.await(10, TimeUnit.SECONDS);
    }
  }
}
