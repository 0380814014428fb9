package io.snipeloom.peer;

import io.netty.channel.EventLoop;
import io.snipeloom.resumption.OriginPeers;
import io.snipeloom.resumption.PeerAnswer;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks all other instances which streams they know.
 *
 * <p>Confined to the event loop thread.
 */
public final class OriginClient implements OriginPeers {
  /** How long the answers are waited for, so that they are passed on within 0.25 seconds. */
  private static final long TIMEOUT_MILLIS = 200;

  private final EventLoop loop;
  private final LinkTraffic traffic;
  private final Map<String, RequestConnection> connections = new HashMap<>();

  /**
   * Creates a client that knows no other instances yet.
   *
   * @param loop the event loop of the connections
   * @param traffic counts the bytes of the connections
   */
  public OriginClient(EventLoop loop, LinkTraffic traffic) {
    this.loop = loop;
    this.traffic = traffic;
  }

  /**
   * Replaces the other live instances.
   *
   * @param addresses their addresses for messages between instances, by instance name
   */
  public void updatePeers(Map<String, InetSocketAddress> addresses) {
    List<String> outdated =
        connections.keySet().stream()
            .filter(name -> !connections.get(name).address().equals(addresses.get(name)))
            .toList();
    outdated.forEach(name -> connections.remove(name).close());
    addresses.forEach(
        (name, address) ->
            connections.computeIfAbsent(
                name, absent -> new RequestConnection(loop, address, traffic)));
  }

  @Override
  public void ask(List<String> attempts, Consumer<List<PeerAnswer>> listener) {
    Inquiry inquiry = new Inquiry(connections.size(), listener);
    var unused = loop.schedule(inquiry::complete, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    List.copyOf(connections.values())
        .forEach(
            connection ->
                connection.request(
                    id -> new OriginMessage.Request(id, attempts), inquiry::onResponse));
    inquiry.completeIfNoneIsPending();
  }

  /** The same question to several instances. */
  private static final class Inquiry {
    private final Consumer<List<PeerAnswer>> listener;
    private final List<PeerAnswer> answers = new ArrayList<>();
    private int pending;
    private boolean completed;

    Inquiry(int pending, Consumer<List<PeerAnswer>> listener) {
      this.pending = pending;
      this.listener = listener;
    }

    void onResponse(Optional<CorrelatedMessage> response) {
      pending--;
      if (response.isPresent() && response.get() instanceof OriginMessage.Response answered) {
        answers.add(answered.answer());
      }
      completeIfNoneIsPending();
    }

    void completeIfNoneIsPending() {
      if (pending == 0) {
        complete();
      }
    }

    void complete() {
      if (!completed) {
        completed = true;
        listener.accept(List.copyOf(answers));
      }
    }
  }
}
