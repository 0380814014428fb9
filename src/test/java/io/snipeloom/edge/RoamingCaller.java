package io.snipeloom.edge;

import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A caller that keeps a connection until it is gone, then goes on at another instance: it resumes a
 * stream that was cut, and comes back with what was refused. Confined to the thread that runs it.
 */
final class RoamingCaller implements Callable<Void> {
  private static final int MAX_PAUSE_MILLIS = 60;

  private final String name;
  private final RollingFleet fleet;
  private final Random random;
  private final int longestStreamMillis;
  private final Consumer<SentRequest> sink;
  private Optional<EdgeProcess> last = Optional.empty();
  private PacedRequest next;
  private int count;

  RoamingCaller(
      String name,
      RollingFleet fleet,
      long seed,
      int longestStreamMillis,
      Consumer<SentRequest> sink) {
    this.name = name;
    this.fleet = fleet;
    this.random = new Random(seed);
    this.longestStreamMillis = longestStreamMillis;
    this.sink = sink;
    this.next = PacedRequest.draw(random, longestStreamMillis);
  }

  @Override
  public Void call() throws InterruptedException {
    while (!isDone()) {
      last = fleet.choose(last, random);
      if (last.isPresent()) {
        visit(last.get());
      }
      pause();
    }
    return null;
  }

  /** Returns whether nothing is left to do; a stream that was cut is resumed before. */
  private boolean isDone() {
    return fleet.isOver() && next.position().equals(PacedRequest.Position.START);
  }

  private void visit(EdgeProcess edge) throws InterruptedException {
    try (KeptConnection connection = new KeptConnection(edge.name(), edge.open(), random)) {
      while (!isDone() && sendNext(connection)) {
        pause();
      }
    } catch (IOException e) {
      // The connection is gone; the next request goes elsewhere.
      return;
    }
  }

  /** Sends a request and reads its answer; returns whether the caller stays. */
  private boolean sendNext(KeptConnection connection) throws IOException, InterruptedException {
    SentRequest sent = connection.send(name + "-" + count++, next);
    sink.accept(sent);
    next = following(sent);
    if (sent.isRefused()) {
      TimeUnit.MILLISECONDS.sleep((long) (sent.answer().retryAfterSeconds() * 1_000));
    }
    return sent.whole() && !sent.isRefused();
  }

  private PacedRequest following(SentRequest sent) {
    if (sent.isRefused()) {
      return next;
    }
    boolean again = !sent.whole() && sent.kind().isRepeatable();
    return again ? next.from(sent.reached()) : PacedRequest.draw(random, longestStreamMillis);
  }

  private void pause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
  }
}
