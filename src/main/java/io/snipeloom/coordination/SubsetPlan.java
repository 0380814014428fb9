package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.RendezvousHash;
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
 * Selects the sidecars of one upstream that a router connects to.
 *
 * <p>In a small upstream every router connects to every sidecar. In a large one, rendezvous hashing
 * assigns the same number of routers to each sidecar, most of them from the sidecar's zone. Every
 * router can thus compute the plan independently, and a change of membership moves only the links
 * of the instances that changed. A router that is assigned too few sidecars connects to additional
 * ones. Immutable and thread-safe.
 */
public final class SubsetPlan {
  /** The maximum number of sidecars in an upstream that is connected in full. */
  static final int FULL_MESH_MAX_SIDECARS = 32;

  /** The maximum number of routers in a fleet in which a small upstream is connected in full. */
  static final int FULL_MESH_MAX_ROUTERS = 64;

  /** The average number of sidecars assigned to a router. */
  static final int TARGET_SIDECARS = 16;

  /** The minimum number of sidecars that a router connects to, if the upstream has as many. */
  static final int MIN_SIDECARS = 8;

  /**
   * The number of routers per sidecar is rounded up to a multiple of this, so that small changes of
   * the fleet's size move no links.
   */
  static final int ROUTER_STEP = 8;

  /** The share of a sidecar's routers that come from its own zone, out of 4. */
  static final int OWN_ZONE_QUARTERS = 3;

  private final List<HashedRouter> routers;

  /** A router with the hash of its slot. */
  private record HashedRouter(InstanceId id, Zone zone, long hash) {
    static HashedRouter of(Instance instance) {
      return new HashedRouter(
          instance.id(), instance.zone(), RendezvousHash.hash(instance.id().value()));
    }
  }

  private SubsetPlan(List<HashedRouter> routers) {
    this.routers = routers;
  }

  /**
   * Returns the plan for these routers.
   *
   * @param routers the routers of the fleet
   */
  public static SubsetPlan of(Collection<Instance> routers) {
    return new SubsetPlan(routers.stream().map(HashedRouter::of).toList());
  }

  /**
   * Returns the sidecars that a router connects to.
   *
   * @param self the router; it counts as one of the routers even if it is not among them
   * @param sidecars the sidecars of one upstream
   * @return the slots of the sidecars to connect to
   */
  public Set<InstanceId> chosen(Instance self, Collection<Instance> sidecars) {
    List<HashedRouter> present = withSelf(HashedRouter.of(self));
    Set<InstanceId> chosen = new HashSet<>();
    if (sidecars.size() <= FULL_MESH_MAX_SIDECARS && present.size() <= FULL_MESH_MAX_ROUTERS) {
      sidecars.forEach(sidecar -> chosen.add(sidecar.id()));
      return chosen;
    }
    int routersPerSidecar = routersPerSidecar(present.size(), sidecars.size());
    HashedRouter own = HashedRouter.of(self);
    Map<Zone, Integer> routersByZone = new HashMap<>();
    present.forEach(router -> routersByZone.merge(router.zone(), 1, Integer::sum));
    for (Instance sidecar : sidecars) {
      if (isAssigned(
          own,
          sidecar,
          present,
          routersByZone.getOrDefault(sidecar.zone(), 0),
          routersPerSidecar)) {
        chosen.add(sidecar.id());
      }
    }
    addUpToMinimum(own, sidecars, chosen);
    return chosen;
  }

  /**
   * Returns the number of routers that share each sidecar of an upstream.
   *
   * @param routerCount the number of routers in the fleet
   * @param sidecarCount the number of sidecars in the upstream
   */
  public static int routersPerSidecar(int routerCount, int sidecarCount) {
    if (sidecarCount <= FULL_MESH_MAX_SIDECARS && routerCount <= FULL_MESH_MAX_ROUTERS) {
      return routerCount;
    }
    int target = Math.min(TARGET_SIDECARS, sidecarCount);
    int exact = ceilDiv(target * routerCount, sidecarCount);
    int rounded = ceilDiv(exact, ROUTER_STEP) * ROUTER_STEP;
    return Math.min(routerCount, rounded);
  }

  private static int ceilDiv(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  private List<HashedRouter> withSelf(HashedRouter self) {
    if (routers.stream().anyMatch(router -> router.id().equals(self.id()))) {
      return routers;
    }
    List<HashedRouter> present = new ArrayList<>(routers);
    present.add(self);
    return present;
  }

  /**
   * Returns whether a sidecar is assigned to a router. The sidecar has places for routers of its
   * own zone and places for other routers; within each group, the routers with the highest
   * rendezvous weights get the places. The loop ends as soon as the places are taken.
   */
  private static boolean isAssigned(
      HashedRouter self,
      Instance sidecar,
      List<HashedRouter> routers,
      int routersInZone,
      int routersPerSidecar) {
    long hash = RendezvousHash.hash(sidecar.id().value());
    long weight = RendezvousHash.weight(self.hash(), hash);
    boolean local = self.zone().equals(sidecar.zone());
    int elsewhere = routers.size() - routersInZone;
    int localPlaces = Math.min(routersInZone, routersPerSidecar * OWN_ZONE_QUARTERS / 4);
    localPlaces = Math.max(localPlaces, Math.min(routersInZone, routersPerSidecar - elsewhere));
    int places = local ? localPlaces : routersPerSidecar - localPlaces;
    for (HashedRouter router : routers) {
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

  private static void addUpToMinimum(
      HashedRouter self, Collection<Instance> sidecars, Set<InstanceId> chosen) {
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
