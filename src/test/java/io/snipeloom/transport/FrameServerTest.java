package io.snipeloom.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.MessageCodec;
import io.snipeloom.protocol.Messages;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FrameServerTest {
  private static final FrameSettings SETTINGS =
      FrameSettings.of(SharedKey.of("a shared key of tests"))
          .withMaxFrameBytes(64 << 10)
          .withHeartbeats(Duration.ofMillis(50), Duration.ofMillis(500));
  private static final String LOOPBACK = "127.0.0.1";

  private final MetricRegistry metrics = new MetricRegistry();
  private final RecordingListener served = new RecordingListener();
  private final RecordingListener calling = new RecordingListener();
  private final FrameServer server =
      FrameServer.of(
          Messages.SIDECAR, SETTINGS, served, () -> new Message.Heartbeat(1, 2, 3), metrics);
  private final FrameClient client = FrameClient.of(Messages.ROUTER, SETTINGS, 1, metrics);

  @BeforeEach
  void start() {
    server.start(LOOPBACK, 0);
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  @Test
  void messagesTravelBothWaysAndHeartbeatsCarryLoad() {
    connect(server.port());
    calling.opened.get(0).send(new Message.Cancel(Messages.attempt(3)));
    Eventually.await("cancel", () -> served.messages.contains(cancel(3)));
    Eventually.await("load", () -> calling.messages.contains(new Message.Heartbeat(1, 2, 3)));
    assertThat(served.opened.get(0).peer(), is(Messages.ROUTER));
  }

  @Test
  void peerWithOtherKeyIsRefused() {
    FrameSettings other = FrameSettings.of(SharedKey.of("another key of tests"));
    FrameClient stranger = FrameClient.of(Messages.ROUTER, other, 1, metrics);
    stranger.connect(LOOPBACK, server.port(), stranger.nextExecutor(), calling);
    Eventually.await("refusal", () -> !calling.failed.isEmpty());
    stranger.stop();
    assertThat(served.opened, hasSize(0));
    assertThat(metrics.meter("transport.handshakes.refused").getCount(), is(1L));
  }

  @Test
  void malformedOversizedAndEarlyFramesCloseTheirOwnConnectionOnly() throws IOException {
    connect(server.port());
    sendRaw(5, new byte[] {1, 2, 3, 4, 5});
    sendRaw(Integer.MAX_VALUE, new byte[] {1, 2, 3, 4, 5});
    sendRaw(-1, new byte[] {1});
    byte[] early = MessageCodec.encode(cancel(1));
    sendRaw(early.length, early);
    Eventually.await("closed", () -> metrics.meter("transport.frames.malformed").getCount() == 3);
    assertThat(metrics.meter("transport.handshakes.refused").getCount(), is(1L));

    calling.opened.get(0).send(cancel(4));
    Eventually.await("the good one works", () -> served.messages.contains(cancel(4)));
    assertThat(served.closed, hasSize(0));
  }

  @Test
  void truncatedFrameIsGivenUpAfterSilence() throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.getOutputStream().write(new byte[] {0, 0, 1, 0, 7});
      socket.getOutputStream().flush();
      assertThat(socket.getInputStream().read(), is(-1));
    }
    assertThat(metrics.meter("transport.connections.silent").getCount(), greaterThanOrEqualTo(1L));
  }

  @Test
  void peerThatAcceptsAndNeverAnswersIsGivenUp() throws IOException {
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      client.connect(LOOPBACK, silent.getLocalPort(), client.nextExecutor(), calling);
      Eventually.await("given up", () -> !calling.failed.isEmpty());
    }
    assertThat(calling.opened, hasSize(0));
  }

  @Test
  void connectionStopsTakingBytesWhenThePeerDoesNotRead() throws IOException {
    connect(server.port());
    FrameConnection connection = calling.opened.get(0);
    byte[] data = new byte[32 << 10];
    int sent = 0;
    while (connection.isWritable() && sent < 10_000) {
      connection.send(new Message.AnswerChunk(Messages.attempt(1), ++sent, data));
    }
    assertThat("writability limits the sender", sent < 10_000, is(true));
  }

  private void connect(int port) {
    client.connect(LOOPBACK, port, client.nextExecutor(), calling);
    Eventually.await("open", () -> !calling.opened.isEmpty() && !served.opened.isEmpty());
  }

  private void sendRaw(int length, byte[] frame) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(length);
      out.write(frame);
      out.flush();
      while (socket.getInputStream().read() >= 0) {
        // Reads until the server closes.
      }
    } catch (java.net.SocketException e) {
      // A reset closes the connection as well.
    }
  }

  private static Message.Cancel cancel(long sequence) {
    return new Message.Cancel(Messages.attempt(sequence));
  }
}
