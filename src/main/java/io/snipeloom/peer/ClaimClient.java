package io.snipeloom.peer;

import io.netty.channel.EventLoop;
import io.snipeloom.spend.ClaimPeers;
import io.snipeloom.spend.CustomerPart;
import io.snipeloom.state.RendezvousHash;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tells other instances of claims, and asks them which ones they know.
 *
 * <p>Confined to the event loop thread.
 */
public final class ClaimClient implements ClaimPeers {
  /** The number of instances that remember the claims of this one; one may die with it. */
  private static final int REMEMBERING = 2;

  private final EventLoop loop;
  private final LinkTraffic traffic;
  private final String instance;
  private final Map<String, RequestConnection> connections = new HashMap<>();
  private List<String> remembering = List.of();

  /**
   * Creates a client that knows no other instances yet.
   *
   * @param loop the event loop of the connections
   * @param traffic counts the bytes of the connections
   * @param instance the name of this instance
   */
  public ClaimClient(EventLoop loop, LinkTraffic traffic, String instance) {
    this.loop = loop;
    this.traffic = traffic;
    this.instance = instance;
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
    remembering =
        addresses.keySet().stream()
            .sorted(Comparator.comparingLong(name -> RendezvousHash.weightOf(name, instance)))
            .limit(REMEMBERING)
            .toList();
  }

  @Override
  public Set<String> names() {
    return Set.copyOf(connections.keySet());
  }

  @Override
  public void ask(String name, long era, Consumer<List<CustomerPart>> listener) {
    RequestConnection connection = connections.get(name);
    if (connection == null) {
      return;
    }
    connection.request(
        id -> new ClaimMessage.Request(id, era),
        response -> {
          if (response.isPresent() && response.get() instanceof ClaimMessage.Response answer) {
            listener.accept(answer.parts());
          }
        });
  }

  @Override
  public void tell(List<CustomerPart> parts) {
    List<CustomerPart> told = parts.subList(0, Math.min(parts.size(), ClaimMessage.MAX_PARTS));
    for (String name : remembering) {
      connections.get(name).request(id -> new ClaimMessage.Notice(id, told), response -> {});
    }
  }
}
