package io.snipeloom.transport;

import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.MessageCodec;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.SnipeloomException;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.LogManager;

/**
 * Benchmark that prints frame sizes, round trips per second over loopback, and the processor time
 * of idle connections.
 */
public final class TransportTrial {
  private static final int[] CONNECTION_COUNTS = {10, 100, 1_000};
  private static final int[] IN_FLIGHT_COUNTS = {1, 16, 64};
  private static final int ROUND_TRIPS = 100_000;
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final FrameSettings SETTINGS =
      FrameSettings.of(SharedKey.of("a shared key of trials"));

  private TransportTrial() {}

  /** Runs all measurements. */
  public static void main(String[] args) throws InterruptedException {
    LogManager.getLogManager().reset();
    printFrameSizes();
    for (int inFlight : IN_FLIGHT_COUNTS) {
      printRoundTrips(inFlight);
    }
    for (int connections : CONNECTION_COUNTS) {
      printIdleCpuTime(connections);
    }
  }

  private static void printFrameSizes() {
    for (Message message : Messages.samplesOfAllTypes()) {
      int bytes = MessageCodec.encode(message).length + FrameChannels.LENGTH_FIELD_BYTES;
      System.out.println("frame " + message.getClass().getSimpleName() + " " + bytes + " bytes");
    }
  }

  private static void printRoundTrips(int inFlight) throws InterruptedException {
    EchoListener echoListener = new EchoListener();
    FrameServer server = server(echoListener);
    CountDownLatch done = new CountDownLatch(ROUND_TRIPS);
    PingListener pingListener = new PingListener(done);
    FrameClient client = client();
    client.connect("127.0.0.1", server.port(), client.nextExecutor(), pingListener);
    Eventually.await("open", () -> pingListener.connection != null);
    long start = System.nanoTime();
    for (int i = 0; i < inFlight; i++) {
      pingListener.ping();
    }
    done.await();
    long nanos = System.nanoTime() - start;
    System.out.printf(
        "round trips in flight=%d count=%d per_second=%d%n",
        inFlight, ROUND_TRIPS, ROUND_TRIPS * TimeUnit.SECONDS.toNanos(1) / nanos);
    client.stop();
    server.stop();
  }

  private static void printIdleCpuTime(int connections) {
    RecordingListener listener = new RecordingListener();
    FrameServer server = server(listener);
    FrameClient client = client();
    for (int i = 0; i < connections; i++) {
      client.connect("127.0.0.1", server.port(), client.nextExecutor(), new NoOpListener());
    }
    Eventually.await("open", () -> listener.opened.size() == connections);
    var system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long cpuStart = system.getProcessCpuTime();
    long start = System.nanoTime();
    while (System.nanoTime() - start < IDLE_NANOS) {
      LockSupport.parkNanos(IDLE_NANOS / 10);
    }
    double share = (system.getProcessCpuTime() - cpuStart) / (double) (System.nanoTime() - start);
    System.out.printf(
        "idle links=%d cpu_of_both_ends=%.3f%% of a core lost=%d%n",
        connections, share * 100, listener.closed.size());
    client.stop();
    server.stop();
  }

  private static FrameServer server(FrameListener listener) {
    FrameServer server =
        FrameServer.of(
            Messages.SIDECAR,
            SETTINGS,
            listener,
            () -> new Message.Heartbeat(1, 2, 3),
            new MetricRegistry());
    server.start("127.0.0.1", 0);
    return server;
  }

  private static FrameClient client() {
    return FrameClient.of(Messages.ROUTER, SETTINGS, 2, new MetricRegistry());
  }

  /** A listener that ignores all events. */
  private static class NoOpListener implements FrameListener {
    @Override
    public void onOpened(FrameConnection connection) {}

    @Override
    public void onMessage(FrameConnection connection, Message message) {}

    @Override
    public void onWritable(FrameConnection connection) {}

    @Override
    public void onClosed(FrameConnection connection, SnipeloomException reason) {}

    @Override
    public void onFailed(SnipeloomException reason) {}
  }

  /** Echoes each cancel message to its sender. */
  private static final class EchoListener extends NoOpListener {
    @Override
    public void onMessage(FrameConnection connection, Message message) {
      if (message instanceof Message.Cancel) {
        connection.send(message);
      }
    }
  }

  /** Sends a new cancel message for each one that is echoed, until the count is reached. */
  private static final class PingListener extends NoOpListener {
    private final CountDownLatch done;
    private volatile FrameConnection connection;

    PingListener(CountDownLatch done) {
      this.done = done;
    }

    void ping() {
      connection.send(new Message.Cancel(Messages.attempt(1)));
    }

    @Override
    public void onOpened(FrameConnection opened) {
      connection = opened;
    }

    @Override
    public void onMessage(FrameConnection from, Message message) {
      if (message instanceof Message.Cancel && done.getCount() > 0) {
        done.countDown();
        ping();
      }
    }
  }
}
