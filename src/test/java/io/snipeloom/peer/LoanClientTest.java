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
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
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

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LoanClient client = new LoanClient(loop, new Random(1));
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
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = peer.accept()) {
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
