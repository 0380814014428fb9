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
  private final RecordingListener serverEvents = new RecordingListener();
  private final RecordingListener clientEvents = new RecordingListener();
  private final FrameServer server =
      FrameServer.of(
          Messages.SIDECAR, SETTINGS, serverEvents, () -> new Message.Heartbeat(1, 2, 3), metrics);
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
  void messagesAreDeliveredInBothDirectionsAndHeartbeatsReportLoad() {
    connect(server.port());
    clientEvents.opened.get(0).send(new Message.Cancel(Messages.attempt(3)));
    Eventually.await("cancel", () -> serverEvents.messages.contains(cancel(3)));
    Eventually.await("load", () -> clientEvents.messages.contains(new Message.Heartbeat(1, 2, 3)));
    assertThat(serverEvents.opened.get(0).peer(), is(Messages.ROUTER));
  }

  @Test
  void clientWithAnotherKeyIsRejected() {
    FrameSettings otherSettings = FrameSettings.of(SharedKey.of("another key of tests"));
    FrameClient otherClient = FrameClient.of(Messages.ROUTER, otherSettings, 1, metrics);
    otherClient.connect(LOOPBACK, server.port(), otherClient.nextExecutor(), clientEvents);
    Eventually.await("connection failure", () -> !clientEvents.failed.isEmpty());
    otherClient.stop();
    assertThat(serverEvents.opened, hasSize(0));
    assertThat(metrics.meter("transport.handshakes.refused").getCount(), is(1L));
  }

  @Test
  void invalidFramesCloseOnlyTheirOwnConnection() throws IOException {
    connect(server.port());
    sendRaw(5, new byte[] {1, 2, 3, 4, 5});
    sendRaw(Integer.MAX_VALUE, new byte[] {1, 2, 3, 4, 5});
    sendRaw(-1, new byte[] {1});
    byte[] beforeHandshake = MessageCodec.encode(cancel(1));
    sendRaw(beforeHandshake.length, beforeHandshake);
    Eventually.await(
        "rejected frames", () -> metrics.meter("transport.frames.malformed").getCount() == 3);
    assertThat(metrics.meter("transport.handshakes.refused").getCount(), is(1L));

    clientEvents.opened.get(0).send(cancel(4));
    Eventually.await(
        "message on the valid connection", () -> serverEvents.messages.contains(cancel(4)));
    assertThat(serverEvents.closed, hasSize(0));
  }

  @Test
  void connectionWithTruncatedFrameIsClosedAfterTheHeartbeatTimeout() throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.getOutputStream().write(new byte[] {0, 0, 1, 0, 7});
      socket.getOutputStream().flush();
      assertThat(socket.getInputStream().read(), is(-1));
    }
    assertThat(metrics.meter("transport.connections.silent").getCount(), greaterThanOrEqualTo(1L));
  }

  @Test
  void connectFailsIfTheServerNeverResponds() throws IOException {
    try (ServerSocket silentServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      client.connect(LOOPBACK, silentServer.getLocalPort(), client.nextExecutor(), clientEvents);
      Eventually.await("connect failure", () -> !clientEvents.failed.isEmpty());
    }
    assertThat(clientEvents.opened, hasSize(0));
  }

  @Test
  void connectionBecomesUnwritableWhenItsOutboundBufferIsFull() throws IOException {
    connect(server.port());
    FrameConnection connection = clientEvents.opened.get(0);
    byte[] data = new byte[32 << 10];
    int sent = 0;
    while (connection.isWritable() && sent < 10_000) {
      connection.send(new Message.AnswerChunk(Messages.attempt(1), ++sent, data));
    }
    assertThat("connection became unwritable", sent < 10_000, is(true));
  }

  private void connect(int port) {
    client.connect(LOOPBACK, port, client.nextExecutor(), clientEvents);
    Eventually.await(
        "open", () -> !clientEvents.opened.isEmpty() && !serverEvents.opened.isEmpty());
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
      // A connection reset means that the server closed the connection.
    }
  }

  private static Message.Cancel cancel(long sequence) {
    return new Message.Cancel(Messages.attempt(sequence));
  }
}
