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
 * Joins the lagging instance list with what connections say.
 *
 * <p>The connection knows better: a sidecar that says that it is leaving gets no new work whatever
 * the list says, and a list that suddenly lacks much of the fleet is not believed against live
 * connections. Not thread-safe; the owner guards it.
 */
public final class FleetView {
  /** How long a sidecar that the list forgot still gets new work while its connection lives. */
  static final Duration UNLISTED_GRACE = Duration.ofSeconds(30);

  /** How long a sidecar that the list forgot is kept while its connection is down. */
  static final Duration LOST_GRACE = Duration.ofSeconds(60);

  /** The entries missing at once, as a divisor of those known, above which a list is doubted. */
  static final int DOUBT_DIVISOR = 4;

  /** The fewest entries missing at once for which a list is doubted. */
  static final int MIN_DOUBTED = 2;

  private final Map<InstanceId, Member> members = new HashMap<>();

  /** What is known of one instance. */
  private static final class Member {
    private Instance instance;
    private boolean listed = true;
    private boolean doubted;
    private long missingSinceNanos;
    private boolean connected;
    private long disconnectedSinceNanos;
    private boolean leavingByLink;
    private Incarnation incarnation;
    private Incarnation leavingByListOf;

    private Member(Instance instance, long nowNanos) {
      this.instance = instance;
      this.disconnectedSinceNanos = nowNanos;
    }
  }

  /** Creates an empty view. */
  public FleetView() {}

  /**
   * Takes in a list. While the list does not answer, nothing is called and the view stays.
   *
   * @param list the instances listed
   * @param nowNanos the present time in nanoseconds
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
   * Takes in the state of a connection.
   *
   * @param id the slot
   * @param incarnation the incarnation at the other end; empty while not connected
   * @param leaving whether it said that it is leaving
   * @param nowNanos the present time in nanoseconds
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
      member.leavingByLink = false;
    }
    member.leavingByLink |= leaving;
  }

  /**
   * Returns whether a sidecar may get new work, as far as membership knows.
   *
   * @param id the slot
   * @param nowNanos the present time in nanoseconds
   * @return true if it may
   */
  public boolean takesNewWork(InstanceId id, long nowNanos) {
    Member member = members.get(id);
    if (member == null || member.leavingByLink || isLeavingByList(member)) {
      return false;
    }
    return member.listed
        || member.doubted
        || nowNanos - member.missingSinceNanos < UNLISTED_GRACE.toNanos();
  }

  /**
   * Returns the instances of a role that are known.
   *
   * @param role the role
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
   * Forgets the instances that have gone: missing from the list, and either disconnected for {@link
   * #LOST_GRACE} or without open work after {@link #UNLISTED_GRACE}.
   *
   * @param busy the slots that have open work
   * @param nowNanos the present time in nanoseconds
   * @return the slots forgotten
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

  /**
   * Returns how many instances are kept although a list that is not believed lacks them.
   *
   * @return the number of instances
   */
  public long doubted() {
    return members.values().stream().filter(member -> member.doubted).count();
  }

  private void onListed(Instance instance, long nowNanos) {
    Member member = members.computeIfAbsent(instance.id(), id -> new Member(instance, nowNanos));
    member.instance = instance;
    member.listed = true;
    member.doubted = false;
    if (!instance.leaving()) {
      member.leavingByListOf = null;
    } else if (member.leavingByListOf == null) {
      member.leavingByListOf = member.incarnation;
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
    return missing >= MIN_DOUBTED && missing * DOUBT_DIVISOR > known;
  }

  /** The list lags: what it says of a slot does not hold for a later incarnation in that slot. */
  private static boolean isLeavingByList(Member member) {
    if (!member.instance.leaving()) {
      return false;
    }
    return member.leavingByListOf == null || member.leavingByListOf.equals(member.incarnation);
  }

  private static boolean isGone(Member member, boolean busy, long nowNanos) {
    if (member.listed) {
      return false;
    }
    if (!member.connected) {
      long since = Math.max(member.missingSinceNanos, member.disconnectedSinceNanos);
      return nowNanos - since >= LOST_GRACE.toNanos();
    }
    return !member.doubted
        && !busy
        && nowNanos - member.missingSinceNanos >= UNLISTED_GRACE.toNanos();
  }
}
