package io.snipeloom.edge;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A caller that sends one request after the other on one connection until the connection is gone.
 *
 * <p>Confined to the thread that runs it.
 */
final class KeptCaller implements Callable<Void> {
  private static final int MAX_PAUSE_MILLIS = 60;

  private final String name;
  private final EdgeProcess edge;
  private final Random random;
  private final int longestStreamMillis;
  private final Consumer<SentRequest> sink;

  KeptCaller(
      String name,
      EdgeProcess edge,
      long seed,
      int longestStreamMillis,
      Consumer<SentRequest> sink) {
    this.name = name;
    this.edge = edge;
    this.random = new Random(seed);
    this.longestStreamMillis = longestStreamMillis;
    this.sink = sink;
  }

  @Override
  public Void call() throws InterruptedException {
    try (KeptConnection connection = new KeptConnection(edge.name(), edge.open(), random)) {
      for (int count = 0; sendNext(connection, name + "-" + count); count++) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      }
    } catch (IOException e) {
      // The connection is gone; the request on it, if any, was reported.
      return null;
    }
    return null;
  }

  /** Sends a request and reads its answer; returns whether the connection may be used again. */
  private boolean sendNext(KeptConnection connection, String attempt)
      throws IOException, InterruptedException {
    SentRequest sent = connection.send(attempt, PacedRequest.draw(random, longestStreamMillis));
    sink.accept(sent);
    return sent.whole();
  }
}
