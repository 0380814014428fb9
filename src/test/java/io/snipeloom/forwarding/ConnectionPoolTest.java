package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.telemetry.LinkTraffic;
import io.snipeloom.transport.BusyReading;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a pool does with connections of which the event loop has not read everything. */
@Timeout(20)
class ConnectionPoolTest {
  private static final String REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

  /** Longer than a pool waits to see whether a probed peer goes on. */
  private static final long BUSY_MILLIS = 400;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private ServerSocket peer;
  private ConnectionPool pool;

  /** What the peer does with its end of a connection. */
  private interface PeerAction {
    void run(Socket socket) throws IOException;
  }

  @BeforeEach
  void listen() throws IOException {
    peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    InetSocketAddress address = (InetSocketAddress) peer.getLocalSocketAddress();
    pool =
        new ConnectionPool(
            loop,
            address,
            new LinkTraffic().meter(LinkTraffic.Purpose.REPLICAS),
            connection -> OptionalLong.empty(),
            (connection, moment) -> {});
  }

  @AfterEach
  void stop() throws IOException {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    peer.close();
  }

  /** Guards against opening a new connection for each request that was not sent after all. */
  @Test
  void connectionThatWasGivenBackIsReused() throws Exception {
    ClientConnection first = acquireAndGiveBack();
    assertThat(acquireAfter(socket -> {}), sameInstance(first));
  }

  /** Guards against a second response to a request that is taken for the one to its next send. */
  @Test
  void connectionCarriesNoRequestTwice() throws Exception {
    ClientConnection first = acquireAndGiveBack();
    first.carried().add("a1");
    assertThat(acquire("a1"), not(sameInstance(first)));
    assertThat(acquire("a2"), sameInstance(first));
  }

  /** Guards against a request that is lost on a connection whose close lies unread. */
  @Test
  void connectionWhoseCloseLiesUnreadIsNotReused() throws Exception {
    ClientConnection first = acquireAndGiveBack();
    assertThat(acquireAfter(Socket::close), not(sameInstance(first)));
  }

  /** Guards against an earlier refusal that lies unread and is taken for the next answer. */
  @Test
  void connectionOnWhichRefusalLiesUnreadIsNotReused() throws Exception {
    ClientConnection first = acquireAndGiveBack();
    ClientConnection next =
        acquireAfter(
            socket -> socket.getOutputStream().write(REFUSAL.getBytes(StandardCharsets.US_ASCII)));
    assertThat(next, not(sameInstance(first)));
  }

  /** Guards against a peer that counts as alive because the close of its connection lies unread. */
  @Test
  void probedPeerThatEndedWhileLoopWasBusyIsNotAlive() throws Exception {
    try (BusyReading reading = new BusyReading(loop)) {
      CompletableFuture<ConnectionPool.ProbeResult> result = new CompletableFuture<>();
      loop.execute(() -> pool.probe(result::complete));
      Socket accepted = peer.accept();
      reading.begin(BUSY_MILLIS);
      peer.close();
      accepted.close();
      assertThat(result.get(), is(ConnectionPool.ProbeResult.REFUSED));
    }
  }

  private ClientConnection acquireAndGiveBack() throws Exception {
    ClientConnection connection = acquire("");
    loop.submit(() -> pool.giveBack(connection)).sync();
    return connection;
  }

  private ClientConnection acquire(String requestId) throws Exception {
    CompletableFuture<ClientConnection> acquired = new CompletableFuture<>();
    loop.execute(
        () ->
            pool.acquire(
                requestId,
                acquired::complete,
                reason -> acquired.completeExceptionally(new IOException(reason))));
    return acquired.get();
  }

  /** Acquires a connection right after the peer did something, which was not read yet. */
  private ClientConnection acquireAfter(PeerAction action) throws Exception {
    Socket accepted = peer.accept();
    CompletableFuture<ClientConnection> acquired = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            action.run(accepted);
          } catch (IOException e) {
            acquired.completeExceptionally(e);
          }
          pool.acquire(
              "",
              acquired::complete,
              reason -> acquired.completeExceptionally(new IOException(reason)));
        });
    return acquired.get();
  }
}
