package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import io.snipeloom.routing.RendezvousHash;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.Zone;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the sidecars of one upstream that a router connects to.
 *
 * <p>A small upstream is connected in full. In a large one each sidecar is given the same number of
 * routers by rendezvous hash, most of them in its zone, so that every router derives the plan alone
 * and a change of membership moves only the links of what changed. A router that gets too few
 * sidecars in this way adds some by itself. Immutable and thread-safe.
 */
public final class SubsetPlan {
  /** The sidecars up to which a router connects to all. */
  static final int FULL_SIDECARS = 32;

  /** The routers up to which a small upstream is connected in full. */
  static final int FULL_ROUTERS = 64;

  /** The sidecars that a router is given on average. */
  static final int TARGET_SIDECARS = 16;

  /** The fewest sidecars that a router connects to. */
  static final int MIN_SIDECARS = 8;

  /** The step in which the routers of a sidecar grow, so that small changes move nothing. */
  static final int ROUTER_STEP = 8;

  /** The share of a sidecar's routers in its own zone, out of 4. */
  static final int OWN_ZONE_QUARTERS = 3;

  private final List<Peer> routers;

  /** A router with its hash. */
  private record Peer(InstanceId id, Zone zone, long hash) {
    static Peer of(Instance instance) {
      return new Peer(instance.id(), instance.zone(), RendezvousHash.hash(instance.id().value()));
    }
  }

  private SubsetPlan(List<Peer> routers) {
    this.routers = routers;
  }

  /**
   * Returns the plan for these routers.
   *
   * @param routers the routers of the fleet
   * @return the plan
   */
  public static SubsetPlan of(Collection<Instance> routers) {
    return new SubsetPlan(routers.stream().map(Peer::of).toList());
  }

  /**
   * Returns the sidecars that a router connects to.
   *
   * @param self the router; it counts as one of the routers even if it is not among them
   * @param sidecars the sidecars of one upstream
   * @return the slots to connect to
   */
  public Set<InstanceId> chosen(Instance self, Collection<Instance> sidecars) {
    List<Peer> present = withSelf(Peer.of(self));
    Set<InstanceId> chosen = new HashSet<>();
    if (sidecars.size() <= FULL_SIDECARS && present.size() <= FULL_ROUTERS) {
      sidecars.forEach(sidecar -> chosen.add(sidecar.id()));
      return chosen;
    }
    int width = routersPerSidecar(present.size(), sidecars.size());
    Peer own = Peer.of(self);
    Map<Zone, Integer> perZone = new HashMap<>();
    present.forEach(router -> perZone.merge(router.zone(), 1, Integer::sum));
    for (Instance sidecar : sidecars) {
      if (isGiven(own, sidecar, present, perZone.getOrDefault(sidecar.zone(), 0), width)) {
        chosen.add(sidecar.id());
      }
    }
    addMissing(own, sidecars, chosen);
    return chosen;
  }

  /**
   * Returns the routers that each sidecar of an upstream is shared by.
   *
   * @param routerCount the routers of the fleet
   * @param sidecarCount the sidecars of the upstream
   * @return the number of routers
   */
  public static int routersPerSidecar(int routerCount, int sidecarCount) {
    if (sidecarCount <= FULL_SIDECARS && routerCount <= FULL_ROUTERS) {
      return routerCount;
    }
    int target = Math.min(TARGET_SIDECARS, sidecarCount);
    int exact = ceilDiv(target * routerCount, sidecarCount);
    int stepped = ceilDiv(exact, ROUTER_STEP) * ROUTER_STEP;
    return Math.min(routerCount, stepped);
  }

  private static int ceilDiv(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  private List<Peer> withSelf(Peer self) {
    if (routers.stream().anyMatch(router -> router.id().equals(self.id()))) {
      return routers;
    }
    List<Peer> present = new ArrayList<>(routers);
    present.add(self);
    return present;
  }

  /** Counting stops as soon as enough routers are preferred to this one. */
  private static boolean isGiven(
      Peer self, Instance sidecar, List<Peer> routers, int inZone, int width) {
    long hash = RendezvousHash.hash(sidecar.id().value());
    long weight = RendezvousHash.weight(self.hash(), hash);
    boolean local = self.zone().equals(sidecar.zone());
    int elsewhere = routers.size() - inZone;
    int localWidth = Math.min(inZone, width * OWN_ZONE_QUARTERS / 4);
    localWidth = Math.max(localWidth, Math.min(inZone, width - elsewhere));
    int places = local ? localWidth : width - localWidth;
    for (Peer router : routers) {
      if (places <= 0) {
        return false;
      }
      if (router.zone().equals(sidecar.zone()) == local
          && RendezvousHash.weight(router.hash(), hash) > weight) {
        places--;
      }
    }
    return places > 0;
  }

  private static void addMissing(Peer self, Collection<Instance> sidecars, Set<InstanceId> chosen) {
    int missing = Math.min(MIN_SIDECARS, sidecars.size()) - chosen.size();
    if (missing <= 0) {
      return;
    }
    sidecars.stream()
        .map(Instance::id)
        .filter(id -> !chosen.contains(id))
        .sorted(
            Comparator.<InstanceId>comparingLong(
                    id -> RendezvousHash.weight(RendezvousHash.hash(id.value()), self.hash()))
                .reversed())
        .limit(missing)
        .toList()
        .forEach(chosen::add);
  }
}
