import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback, of which open channels can go silent and new ones can be held up. */
final class Link {
  private final ServerSocket listener;
  private final int target;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  /** One channel and its continuation to the target. */
  private static final class Pair {
    private final Socket in;
    private volatile Socket out;
    private volatile boolean silent;

    Pair(Socket in) {
      this.in = in;
    }

    void close() {
      for (Socket socket : new Socket[] {in, out}) {
        try {
          if (socket != null) {
            socket.close();
          }
        } catch (IOException e) {
          // It is closed already.
        }
      }
    }
  }

  Link(int target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** The channels that are open now carry nothing any more and are not closed. New ones work. */
  int silenceOpenChannels() {
    pairs.forEach(pair -> pair.silent = true);
    return pairs.size();
  }

  /** Nothing passes any more, on open channels and on new ones, until {@link #heal}. */
  void cut() {
    cut = true;
    silenceOpenChannels();
  }

  void heal() {
    cut = false;
  }

  private void accept() {
    while (true) {
      try {
        Pair pair = new Pair(listener.accept());
        pair.in.setTcpNoDelay(true);
        pairs.add(pair);
        pair.silent = cut;
        pair.out = new Socket(InetAddress.getByName("127.0.0.1"), target);
        pair.out.setTcpNoDelay(true);
        start(() -> pump(pair, pair.in, pair.out));
        start(() -> pump(pair, pair.out, pair.in));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pump(Pair pair, Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!pair.silent) {
          out.write(buffer, 0, n);
          out.flush();
        }
      }
    } catch (IOException e) {
      // One side has closed the channel.
    }
    if (!pair.silent || from == pair.in) {
      pair.close();
      pairs.remove(pair);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }
}
