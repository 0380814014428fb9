package io.snipeloom.edge;

import io.snipeloom.platform.ConfigurationDecoder;
import io.snipeloom.platform.ReplicaDecoder;
import io.snipeloom.routing.Places;
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
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.jar.JarFile;

/**
 * Training run for class data sharing: starts an instance without a store, sends one request to
 * each of its HTTP listeners, and exits.
 *
 * <p>With {@code -XX:ArchiveClassesAtExit} the JVM archives the classes that a start loads. With
 * the archive, a killed instance restarts about three times as fast.
 */
public final class ClassArchiveTrainingRun {
  /** The packages whose classes are all loaded, whether or not the run uses them. */
  private static final List<String> PACKAGES =
      List.of(
          "crashes",
          "edge",
          "forwarding",
          "peer",
          "platform",
          "resumption",
          "routing",
          "spend",
          "store",
          "telemetry");

  /** Time for the instance to attempt calls to the missing store, whose classes then load too. */
  private static final long STORE_CALLS_MILLIS = 500;

  /** Any figure, so that the classes that need it are loaded. */
  private static final double LINK_MEGABITS = 1_000;

  private ClassArchiveTrainingRun() {}

  /**
   * Performs the training run.
   *
   * @param args not used
   * @throws Exception if the instance cannot start or does not respond
   */
  public static void main(String[] args) throws Exception {
    loadOwnClasses();
    decode(() -> ConfigurationDecoder.decode("{}".getBytes(StandardCharsets.UTF_8)));
    decode(() -> ReplicaDecoder.decode("replica", "{}".getBytes(StandardCharsets.UTF_8)));
    EdgeSettings settings =
        new EdgeSettings(
            "rehearsal",
            "zone",
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            1,
            0.1,
            1,
            10,
            1,
            Places.UNKNOWN,
            Optional.empty(),
            OptionalInt.empty(),
            EdgeSettings.DEFAULT_LEASE_TERMS,
            OptionalDouble.of(LINK_MEGABITS));
    EventLog log = EventLog.to(new PrintStream(System.out));
    EdgeDaemon daemon = EdgeDaemon.of(settings, "rehearsal", "", log);
    daemon.start();
    request(settings.callers());
    request(settings.readiness());
    request(settings.metrics());
    Thread.sleep(STORE_CALLS_MILLIS);
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

  /**
   * Runs a decoder to load its classes and those of its JSON library. The documents are incomplete,
   * so the decoders are expected to reject them.
   */
  private static void decode(Runnable decoder) {
    try {
      decoder.run();
    } catch (SnipeloomException e) {
      System.out.println("training run, expected error: " + e.getMessage());
    }
  }

  private static void request(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      String request = "GET / HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().readAllBytes();
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
    }
  }
}
