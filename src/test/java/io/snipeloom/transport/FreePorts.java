package io.snipeloom.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses ports for listeners that tests start. Outgoing connections never get these ports, since
 * they lie below the system's ephemeral range, and no other test run of this user gets them while
 * this one lasts, so they are still free when the listener binds.
 *
 * <p>Thread-safe.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 20_000;
  private static final int PORT_COUNT = 10_000;

  /** The distance between the first ports of processes with consecutive ids. */
  private static final int PORTS_PER_PROCESS = 1_009;

  /** Starts at different ports in different processes, so that two test runs do not collide. */
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS));

  /** A file with one byte for each port, on which the process that uses the port has a lock. */
  private static final Path LOCK_FILE =
      Path.of(
          System.getProperty("java.io.tmpdir"),
          "snipeloom-test-ports-" + System.getProperty("user.name"));

  private static final FileChannel LOCKS = openLocks();

  private FreePorts() {}

  private static FileChannel openLocks() {
    try {
      return FileChannel.open(LOCK_FILE, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a free port of the loopback interface, a different one on each call. */
  public static int next() throws IOException {
    for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
      if (tryLock(port) && isFree(port)) {
        return port;
      }
    }
    throw new IOException("no free port");
  }

  /** Locks a port until this process ends; returns false if a process has done so already. */
  private static boolean tryLock(int port) throws IOException {
    try {
      return LOCKS.tryLock(port, 1, false) != null;
    } catch (OverlappingFileLockException e) {
      // This process has locked the port before.
      return false;
    }
  }

  private static boolean isFree(int port) throws IOException {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (BindException e) {
      // Another socket uses this port.
      return false;
    }
  }
}
