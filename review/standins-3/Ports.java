import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Free ports, which are not among those that a system gives to outgoing connections: a connection
 * could take such a port before it is listened on.
 */
final class Ports {
  private static final int FIRST = 12_000;
  private static final int END = 32_000;
  private static final int TRIES = 200;
  private static final Set<Integer> GIVEN = new HashSet<>();

  private Ports() {}

  /** Returns a free port that was not returned before. */
  static synchronized int free() throws IOException {
    for (int i = 0; i < TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, END);
      if (GIVEN.add(port) && isFree(port)) {
        return port;
      }
    }
    throw new IOException("no free port found");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      // Another process listens on it.
      return false;
    }
  }
}
