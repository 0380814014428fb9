package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.telemetry.LinkTraffic;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests requests that are sent again on new connections while their response is overdue. */
@Timeout(20)
class RepeatedRequestTest {
  private static final int ACCEPT_TIMEOUT_MILLIS = 5_000;
  private static final RepeatPolicy POLICY = new RepeatPolicy(1_000, 1_000, 4);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> accepted = new ArrayList<>();
  private ServerSocket listener = listen(0);

  RepeatedRequestTest() throws IOException {}

  @AfterEach
  void stop() throws IOException {
    listener.close();
    for (Socket socket : accepted) {
      socket.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  /** Guards against a new connection that is refused, after which no other was tried. */
  @Test
  void requestIsRepeatedAlsoAfterNewConnectionWasRefused() throws Exception {
    final CompletableFuture<Boolean> answered = call();
    accept();
    int port = listener.getLocalPort();
    listener.close();
    TimeUnit.MILLISECONDS.sleep(1_500);
    listener = listen(port);
    answer(accept());
    assertThat(answered.get(), is(true));
  }

  /** Guards against slow new connections that are given up one after the other. */
  @Test
  void connectionOfAnEarlierTryMayStillAnswer() throws Exception {
    final CompletableFuture<Boolean> answered = call();
    accept();
    Socket slow = accept();
    accept();
    answer(slow);
    assertThat(answered.get(), is(true));
  }

  @Test
  void requestFailsOnceAllTriesHave() throws Exception {
    final CompletableFuture<Boolean> answered = call();
    assertThat(answered.get(), is(false));
  }

  private Socket accept() throws IOException {
    Socket socket = listener.accept();
    accepted.add(socket);
    return socket;
  }

  private static void answer(Socket socket) throws IOException {
    String response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
  }

  private CompletableFuture<Boolean> call() {
    CompletableFuture<Boolean> answered = new CompletableFuture<>();
    var loop = group.next();
    AsyncHttpClient client =
        new AsyncHttpClient(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
            new LinkTraffic().meter(LinkTraffic.Purpose.STORE),
            () -> {});
    AsyncHttpClient.Listener outcome =
        new AsyncHttpClient.Listener() {
          @Override
          public AsyncHttpClient.Verdict judge(AsyncHttpClient.Response response) {
            return AsyncHttpClient.Verdict.ANSWER;
          }

          @Override
          public void onResponse(AsyncHttpClient.Response response) {
            answered.complete(true);
          }

          @Override
          public void onFailed(boolean sent) {
            answered.complete(false);
          }
        };
    loop.execute(() -> client.callRepeatable("lane", "/", "/", POLICY, outcome));
    return answered;
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
    return socket;
  }
}
