package io.snipeloom.edge;

import io.snipeloom.platform.ConfigurationDecoder;
import io.snipeloom.platform.ReplicaDecoder;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.telemetry.EventLog;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.jar.JarFile;

/**
 * Starts an instance without a store, asks it once, and ends.
 *
 * <p>Run under {@code -XX:ArchiveClassesAtExit} it records the classes of a start, which makes the
 * restart of a killed instance about three times as fast.
 */
public final class ClassArchiveTrainingRun {
  private static final List<String> PACKAGES =
      List.of("edge", "forwarding", "peer", "platform", "routing", "spend", "store", "telemetry");

  private static final long STORE_ATTEMPTS_MILLIS = 500;

  private ClassArchiveTrainingRun() {}

  /**
   * Runs the rehearsal.
   *
   * @param args none
   * @throws Exception if the instance cannot start
   */
  public static void main(String[] args) throws Exception {
    loadOwnClasses();
    decode(() -> ConfigurationDecoder.decode("{}".getBytes(StandardCharsets.UTF_8)));
    decode(() -> ReplicaDecoder.decode("replica", "{}".getBytes(StandardCharsets.UTF_8)));
    EdgeSettings settings =
        new EdgeSettings(
            "rehearsal", "zone", free(), free(), free(), free(), free(), 1, 0.1, 1, 10, 1);
    EventLog log = EventLog.to(new PrintStream(System.out));
    EdgeDaemon daemon = EdgeDaemon.of(settings, "rehearsal", "", log);
    daemon.start();
    ask(settings.callers());
    ask(settings.readiness());
    ask(settings.metrics());
    Thread.sleep(STORE_ATTEMPTS_MILLIS);
    daemon.halt();
    System.exit(0);
  }

  private static void loadOwnClasses() throws IOException, ClassNotFoundException {
    String jar =
        ClassArchiveTrainingRun.class.getProtectionDomain().getCodeSource().getLocation().getPath();
    try (JarFile file = new JarFile(jar)) {
      for (String name : file.stream().map(entry -> entry.getName()).toList()) {
        if (PACKAGES.stream().anyMatch(part -> name.startsWith("io/snipeloom/" + part + "/"))
            && name.endsWith(".class")
            && !name.endsWith("package-info.class")) {
          Class.forName(name.substring(0, name.length() - 6).replace('/', '.'));
        }
      }
    }
  }

  /** Loads a decoder and its library; the document is not valid, which the decoder says. */
  private static void decode(Runnable decoder) {
    try {
      decoder.run();
    } catch (SnipeloomException e) {
      System.out.println("rehearsed: " + e.getMessage());
    }
  }

  private static void ask(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      String request = "GET / HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().readAllBytes();
    }
  }

  private static InetSocketAddress free() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
    }
  }
}
