package io.snipeloom.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses ports for listeners that tests start. Outgoing connections never get these ports, since
 * they lie below the system's ephemeral range, so they are still free when the listener binds.
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

  private FreePorts() {}

  /** Returns a free port of the loopback interface, a different one on each call. */
  public static int next() throws IOException {
    for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another socket uses this port; the next one is tried.
      }
    }
    throw new IOException("no free port");
  }
}
