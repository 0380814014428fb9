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
 * <p>Immutable and thread-safe; a change of membership creates a new set. The back ends themselves
 * are mutable.
 */
public final class BackEnds {
  private static final BackEnd[] NO_BACK_ENDS = {};
  private static final BackEnds EMPTY = new BackEnds(List.of());

  private final List<BackEnd> all;
  private final Map<ModelId, Pool> byModel;
  private final Pool anyModel;

  /** The back ends that serve one model, in total and by zone. */
  static final class Pool {
    private final BackEnd[] all;
    private final Map<Zone, BackEnd[]> byZone = new HashMap<>();

    private Pool(List<BackEnd> members) {
      all = members.toArray(NO_BACK_ENDS);
      Map<Zone, List<BackEnd>> zones = new HashMap<>();
      members.forEach(m -> zones.computeIfAbsent(m.zone(), z -> new ArrayList<>()).add(m));
      zones.forEach((zone, list) -> byZone.put(zone, list.toArray(NO_BACK_ENDS)));
    }

    BackEnd[] all() {
      return all;
    }

    BackEnd[] in(Zone zone) {
      return byZone.getOrDefault(zone, NO_BACK_ENDS);
    }
  }

  private BackEnds(List<BackEnd> members) {
    all = List.copyOf(members);
    anyModel = new Pool(all);
    Map<ModelId, List<BackEnd>> models = new HashMap<>();
    for (BackEnd member : all) {
      member.models().forEach(m -> models.computeIfAbsent(m, k -> new ArrayList<>()).add(member));
    }
    byModel = new HashMap<>();
    models.forEach((model, list) -> byModel.put(model, new Pool(list)));
  }

  /** Returns a set without back ends. */
  public static BackEnds empty() {
    return EMPTY;
  }

  /** Returns a set of these back ends. */
  public static BackEnds of(Collection<BackEnd> members) {
    return new BackEnds(List.copyOf(members));
  }

  /** Returns all back ends. */
  public List<BackEnd> all() {
    return all;
  }

  /**
   * Returns the back end in a slot.
   *
   * @param id the slot
   * @return the back end; empty if the set has none in that slot
   */
  public Optional<BackEnd> backEnd(InstanceId id) {
    return all.stream().filter(member -> member.id().equals(id)).findFirst();
  }

  /** Returns the back ends that serve a model; all back ends if the model is null. */
  Pool serving(ModelId model) {
    if (model == null) {
      return anyModel;
    }
    Pool pool = byModel.get(model);
    return pool == null ? EMPTY.anyModel : pool;
  }
}
