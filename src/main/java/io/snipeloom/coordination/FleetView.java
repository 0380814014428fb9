package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Combines the instance list, which lags behind the fleet, with the state of the connections to
 * sidecars.
 *
 * <p>Connections take precedence over the list: a sidecar that announces that it is leaving gets no
 * new work regardless of the list, and if a list suddenly omits a large part of the fleet, the
 * connected sidecars are kept. Not thread-safe; guarded by its owner.
 */
public final class FleetView {
  /** How long a connected sidecar that is no longer in the list still gets new work. */
  static final Duration UNLISTED_GRACE = Duration.ofSeconds(30);

  /** How long a disconnected sidecar that is no longer in the list is kept. */
  static final Duration DISCONNECTED_GRACE = Duration.ofSeconds(60);

  /**
   * A list is doubted if it omits more than one in this many of the instances that were listed
   * before.
   */
  static final int DOUBT_DIVISOR = 4;

  /** The minimum number of omitted instances for which a list is doubted. */
  static final int MIN_DOUBTED_OMISSIONS = 2;

  private final Map<InstanceId, Member> members = new HashMap<>();

  /** The known state of one instance. */
  private static final class Member {
    private Instance instance;
    private boolean listed = true;
    private boolean doubted;
    private long missingSinceNanos;
    private boolean connected;
    private long disconnectedSinceNanos;
    private boolean announcedLeaving;
    private Incarnation incarnation;
    private Incarnation listedLeavingIncarnation;

    private Member(Instance instance, long nowNanos) {
      this.instance = instance;
      this.disconnectedSinceNanos = nowNanos;
    }
  }

  /** Creates an empty view. */
  public FleetView() {}

  /**
   * Applies a newly read instance list. Not called while the list cannot be read, so that the view
   * stays unchanged.
   *
   * @param list the listed instances
   * @param nowNanos the current time in nanoseconds
   */
  public void onList(List<Instance> list, long nowNanos) {
    Set<InstanceId> present = new HashSet<>();
    for (Instance instance : list) {
      present.add(instance.id());
      onListed(instance, nowNanos);
    }
    boolean doubted = isDoubtful(present);
    for (Member member : members.values()) {
      if (!present.contains(member.instance.id())) {
        onMissing(member, doubted, nowNanos);
      }
    }
  }

  /**
   * Applies the state of a connection.
   *
   * @param id the slot
   * @param incarnation the connected incarnation; empty while not connected
   * @param leaving whether it announced that it is leaving
   * @param nowNanos the current time in nanoseconds
   */
  public void onLink(
      InstanceId id, Optional<Incarnation> incarnation, boolean leaving, long nowNanos) {
    Member member = members.get(id);
    if (member == null) {
      return;
    }
    if (incarnation.isEmpty()) {
      member.disconnectedSinceNanos = member.connected ? nowNanos : member.disconnectedSinceNanos;
      member.connected = false;
      return;
    }
    member.connected = true;
    if (!incarnation.get().equals(member.incarnation)) {
      member.incarnation = incarnation.get();
      member.announcedLeaving = false;
    }
    member.announcedLeaving |= leaving;
  }

  /**
   * Returns whether a sidecar may get new work according to the list and the connections.
   *
   * @param id the slot
   * @param nowNanos the current time in nanoseconds
   */
  public boolean takesNewWork(InstanceId id, long nowNanos) {
    Member member = members.get(id);
    if (member == null || member.announcedLeaving || isLeavingByList(member)) {
      return false;
    }
    return member.listed
        || member.doubted
        || nowNanos - member.missingSinceNanos < UNLISTED_GRACE.toNanos();
  }

  /**
   * Returns the known instances of a role.
   *
   * @return the instances, sorted by slot
   */
  public List<Instance> instances(Instance.Role role) {
    return members.values().stream()
        .map(member -> member.instance)
        .filter(instance -> instance.role() == role)
        .sorted((left, right) -> left.id().compareTo(right.id()))
        .toList();
  }

  /**
   * Removes the instances that are gone: missing from the list, and either disconnected for {@link
   * #DISCONNECTED_GRACE} or without open work after {@link #UNLISTED_GRACE}.
   *
   * @param busy the slots of the instances with open work
   * @param nowNanos the current time in nanoseconds
   * @return the slots of the removed instances
   */
  public Set<InstanceId> forgetGone(Collection<InstanceId> busy, long nowNanos) {
    Set<InstanceId> gone = new HashSet<>();
    for (Member member : members.values()) {
      if (isGone(member, busy.contains(member.instance.id()), nowNanos)) {
        gone.add(member.instance.id());
      }
    }
    members.keySet().removeAll(gone);
    return gone;
  }

  /** Returns the number of instances that are kept although a doubted list omitted them. */
  public long doubted() {
    return members.values().stream().filter(member -> member.doubted).count();
  }

  private void onListed(Instance instance, long nowNanos) {
    Member member = members.computeIfAbsent(instance.id(), id -> new Member(instance, nowNanos));
    member.instance = instance;
    member.listed = true;
    member.doubted = false;
    if (!instance.leaving()) {
      member.listedLeavingIncarnation = null;
    } else if (member.listedLeavingIncarnation == null) {
      member.listedLeavingIncarnation = member.incarnation;
    }
  }

  private static void onMissing(Member member, boolean doubted, long nowNanos) {
    if (member.listed) {
      member.missingSinceNanos = nowNanos;
      member.doubted = doubted;
    }
    member.listed = false;
  }

  private boolean isDoubtful(Set<InstanceId> present) {
    long known = members.values().stream().filter(member -> member.listed).count();
    long missing =
        members.values().stream()
            .filter(member -> member.listed && !present.contains(member.instance.id()))
            .count();
    return missing >= MIN_DOUBTED_OMISSIONS && missing * DOUBT_DIVISOR > known;
  }

  /**
   * Returns whether the list marks the current incarnation of the member as leaving. Since the list
   * lags, its mark does not apply to a later incarnation in the same slot.
   */
  private static boolean isLeavingByList(Member member) {
    if (!member.instance.leaving()) {
      return false;
    }
    return member.listedLeavingIncarnation == null
        || member.listedLeavingIncarnation.equals(member.incarnation);
  }

  private static boolean isGone(Member member, boolean busy, long nowNanos) {
    if (member.listed) {
      return false;
    }
    if (!member.connected) {
      long since = Math.max(member.missingSinceNanos, member.disconnectedSinceNanos);
      return nowNanos - since >= DISCONNECTED_GRACE.toNanos();
    }
    return !member.doubted
        && !busy
        && nowNanos - member.missingSinceNanos >= UNLISTED_GRACE.toNanos();
  }
}
