package io.snipeloom.forwarding;

import io.netty.channel.EventLoop;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.EngineTraits;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaDirectory;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaPicker;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.RetryAllowance;
import io.snipeloom.routing.ServiceConfiguration;
import io.snipeloom.spend.SpendControl;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What this instance believes: the configuration, the replicas with its experience of them, and the
 * tokens in hand. Belongs to its event loop.
 */
public final class Fleet {
  private final EventLoop loop;
  private final HeaderCodec codec;
  private final ReplicaPicker picker;
  private final ReplicaDirectory directory = new ReplicaDirectory();
  private final SpendControl spend;
  private final Supplier<RetryAllowance> newAllowance;
  private final Map<ReplicaId, ReplicaView> views = new HashMap<>();
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();
  private final Map<String, RetryAllowance> allowances = new HashMap<>();
  private FleetConfiguration configuration;
  private boolean storeReachable = true;

  /**
   * Creates a fleet of which nothing is known yet.
   *
   * @param loop the event loop
   * @param codec translates headers
   * @param zone the availability zone of this instance
   * @param spend the prepaid tokens
   * @param newAllowance creates the allowance of a service
   */
  public Fleet(
      EventLoop loop,
      HeaderCodec codec,
      String zone,
      SpendControl spend,
      Supplier<RetryAllowance> newAllowance) {
    this.loop = loop;
    this.codec = codec;
    this.picker = new ReplicaPicker(zone);
    this.spend = spend;
    this.newAllowance = newAllowance;
  }

  /**
   * Takes a configuration unless it is older than the one in force.
   *
   * @param newer the configuration
   * @return true if it is now in force
   */
  public boolean apply(FleetConfiguration newer) {
    if (configuration != null && newer.version() <= configuration.version()) {
      return false;
    }
    configuration = newer;
    for (CustomerConfiguration customer : newer.customers()) {
      customer.prepaidTokens().ifPresent(tokens -> spend.limit(customer.id(), tokens));
    }
    return true;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, if one is known
   */
  public Optional<FleetConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /**
   * Returns the directory of replicas.
   *
   * @return the directory
   */
  public ReplicaDirectory directory() {
    return directory;
  }

  /**
   * Takes an entry of a replica.
   *
   * @param replica the replica
   * @return true if the entry says something new
   */
  public boolean put(Replica replica) {
    Replica before = directory.put(replica);
    boolean restarted = before == null || !before.isSameIncarnation(replica);
    ReplicaView view = views.get(replica.id());
    if (view == null || restarted) {
      views.put(replica.id(), ReplicaView.of(replica, traitsOf(replica)));
      closePool(replica.address());
    } else {
      views.put(replica.id(), view.with(replica));
    }
    return restarted || before.state() != replica.state();
  }

  /**
   * Forgets what was learned of a replica that left.
   *
   * @param id the replica
   */
  public void forget(ReplicaId id) {
    ReplicaView view = views.remove(id);
    if (view != null) {
      closePool(view.replica().address());
    }
  }

  /**
   * Returns the prepaid tokens.
   *
   * @return the control
   */
  public SpendControl spend() {
    return spend;
  }

  /**
   * Takes note of whether the store answers; while it does not, no claim is waited for.
   *
   * @param reachable whether it answers
   */
  public void storeReachable(boolean reachable) {
    storeReachable = reachable;
    spend.storeReachable(reachable);
  }

  boolean isStoreReachable() {
    return storeReachable;
  }

  /** Closes connections that have been idle for long. */
  public void closeStaleConnections() {
    pools.values().forEach(ConnectionPool::closeStale);
  }

  HeaderCodec codec() {
    return codec;
  }

  ReplicaPicker picker() {
    return picker;
  }

  /** Returns the replicas of a service that take work. */
  List<ReplicaView> workersOf(String service) {
    List<ReplicaView> workers = new ArrayList<>();
    for (Replica replica : directory.workersOf(service)) {
      ReplicaView view = views.get(replica.id());
      if (view != null) {
        workers.add(view);
      }
    }
    return workers;
  }

  /** Returns those that were not tried before, or all if all were. */
  static List<ReplicaView> untried(List<ReplicaView> workers, Collection<ReplicaId> tried) {
    List<ReplicaView> fresh =
        workers.stream().filter(view -> !tried.contains(view.replica().id())).toList();
    return fresh.isEmpty() ? workers : fresh;
  }

  ConnectionPool poolOf(Replica replica) {
    return pools.computeIfAbsent(
        replica.address(),
        address ->
            new ConnectionPool(
                loop, address, connection -> codec.keepAliveMillis(connection.lastHeaders())));
  }

  RetryAllowance allowanceOf(String service) {
    return allowances.computeIfAbsent(service, name -> newAllowance.get());
  }

  int tokensPerEvent(String service) {
    return Optional.ofNullable(configuration)
        .flatMap(current -> current.service(service))
        .flatMap(ServiceConfiguration::engine)
        .map(EngineTraits::tokensPerEvent)
        .orElse(1);
  }

  private EngineTraits traitsOf(Replica replica) {
    return Optional.ofNullable(configuration)
        .flatMap(current -> current.service(replica.service()))
        .flatMap(ServiceConfiguration::engine)
        .orElse(null);
  }

  private void closePool(InetSocketAddress address) {
    ConnectionPool pool = pools.remove(address);
    if (pool != null) {
      pool.close();
    }
  }
}
