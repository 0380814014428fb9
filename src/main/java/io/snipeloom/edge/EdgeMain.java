package io.snipeloom.edge;

import io.snipeloom.state.SnipeloomException;
import io.snipeloom.telemetry.EventLog;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Main class of an edge instance. It bypasses the command-line framework, which would triple the
 * start-up time.
 */
public final class EdgeMain {
  private static final String SETTINGS_VARIABLE = "SNIPELOOM_SETTINGS";
  private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
  private static final int EXIT_INVALID_SETTINGS = 1;
  private static final int EXIT_USAGE = 2;

  private EdgeMain() {}

  /**
   * Starts the instance, which then runs until the process receives a signal to stop.
   *
   * @param args the path of the settings file; if missing, the environment variable
   *     SNIPELOOM_SETTINGS gives it
   */
  public static void main(String[] args) {
    String path = args.length > 0 ? args[0] : System.getenv(SETTINGS_VARIABLE);
    if (path == null) {
      System.err.println(
          "usage: edge SETTINGS; or set the environment variable " + SETTINGS_VARIABLE);
      System.exit(EXIT_USAGE);
    }
    EventLog log = EventLog.to(new PrintStream(new FileOutputStream(FileDescriptor.out)));
    // Before anything that takes time: without a handler, SIGHUP ends the process.
    AtomicReference<Runnable> onHangUp = new AtomicReference<>(() -> {});
    handleSighup(() -> onHangUp.get().run(), log);
    Path file = Path.of(path);
    EdgeSettings settings;
    try {
      settings = EdgeSettings.parse(file);
    } catch (SnipeloomException e) {
      System.err.println("error: code=" + e.code().text() + " message=\"" + e.getMessage() + "\"");
      System.exit(EXIT_INVALID_SETTINGS);
      return;
    }
    EdgeDaemon daemon = EdgeDaemon.of(settings, UUID.randomUUID().toString(), readBootId(log), log);
    onHangUp.set(() -> reload(daemon, file, log));
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "shutdown"));
    daemon.start();
  }

  /**
   * Returns the identifier of the machine's current boot, empty if it cannot be read. Without it an
   * instance inherits no tokens of its previous incarnation after a restart.
   */
  private static String readBootId(EventLog log) {
    try {
      return Files.readString(BOOT_ID).trim();
    } catch (IOException e) {
      log.log("boot_id_unknown", "reason", e);
      return "";
    }
  }

  private static void handleSighup(Runnable task, EventLog log) {
    try {
      SighupHandler.install(task);
    } catch (ReflectiveOperationException e) {
      log.log("hang_up_not_handled", "reason", e.toString());
    }
  }

  private static void reload(EdgeDaemon daemon, Path file, EventLog log) {
    try {
      daemon.reload(EdgeSettings.parse(file));
    } catch (SnipeloomException e) {
      log.log("reload_refused", "reason", e.getMessage());
    }
  }
}
