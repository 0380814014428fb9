package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.sameInstance;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which connections a pool reuses. */
@Timeout(20)
class ConnectionPoolTest {
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
    pool = new ConnectionPool(loop, address, connection -> OptionalLong.empty());
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

  private ClientConnection acquireAndGiveBack() throws Exception {
    CompletableFuture<ClientConnection> acquired = new CompletableFuture<>();
    loop.execute(
        () ->
            pool.acquire(
                connection -> {
                  pool.giveBack(connection);
                  acquired.complete(connection);
                },
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
              acquired::complete,
              reason -> acquired.completeExceptionally(new IOException(reason)));
        });
    return acquired.get();
  }
}
