package io.snipeloom.coordination;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.Zone;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The back ends of one upstream that a router may choose from, indexed by model and zone.
 *
 * <p>Immutable and thread-safe; a change of membership makes a new instance. The back ends in it
 * are mutable.
 */
public final class BackEnds {
  private static final BackEnd[] NONE = {};
  private static final BackEnds EMPTY = new BackEnds(List.of());

  private final List<BackEnd> all;
  private final Map<ModelId, Pool> byModel;
  private final Pool every;

  /** The back ends that serve one model. */
  static final class Pool {
    private final BackEnd[] all;
    private final Map<Zone, BackEnd[]> byZone = new HashMap<>();

    private Pool(List<BackEnd> members) {
      all = members.toArray(NONE);
      Map<Zone, List<BackEnd>> zones = new HashMap<>();
      members.forEach(m -> zones.computeIfAbsent(m.zone(), z -> new ArrayList<>()).add(m));
      zones.forEach((zone, list) -> byZone.put(zone, list.toArray(NONE)));
    }

    BackEnd[] all() {
      return all;
    }

    BackEnd[] in(Zone zone) {
      return byZone.getOrDefault(zone, NONE);
    }
  }

  private BackEnds(List<BackEnd> members) {
    all = List.copyOf(members);
    every = new Pool(all);
    Map<ModelId, List<BackEnd>> models = new HashMap<>();
    for (BackEnd member : all) {
      member.models().forEach(m -> models.computeIfAbsent(m, k -> new ArrayList<>()).add(member));
    }
    byModel = new HashMap<>();
    models.forEach((model, list) -> byModel.put(model, new Pool(list)));
  }

  /**
   * Returns no back ends.
   *
   * @return the empty set
   */
  public static BackEnds empty() {
    return EMPTY;
  }

  /**
   * Returns these back ends.
   *
   * @param members the back ends
   * @return the set
   */
  public static BackEnds of(Collection<BackEnd> members) {
    return new BackEnds(List.copyOf(members));
  }

  /**
   * Returns every back end.
   *
   * @return the back ends
   */
  public List<BackEnd> all() {
    return all;
  }

  /**
   * Returns the back end in a slot.
   *
   * @param id the slot
   * @return the back end; empty if unknown
   */
  public Optional<BackEnd> backEnd(InstanceId id) {
    return all.stream().filter(member -> member.id().equals(id)).findFirst();
  }

  Pool serving(ModelId model) {
    if (model == null) {
      return every;
    }
    Pool pool = byModel.get(model);
    return pool == null ? EMPTY.every : pool;
  }
}
