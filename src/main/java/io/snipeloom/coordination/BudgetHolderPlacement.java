package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.RendezvousHash;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the few instances of a region that claim tokens of a budget in bulk and lend them to the
 * other instances.
 *
 * <p>An instance with another view of the region's members may select other holders; the only cost
 * is an additional claim.
 */
public final class BudgetHolderPlacement {
  /** The number of holders of one budget in one region. */
  public static final int HOLDERS_PER_REGION = 3;

  private BudgetHolderPlacement() {}

  /**
   * Returns the holders of a budget, selected by rendezvous hashing.
   *
   * @param instances the instances of the region
   * @return the holders in order of preference
   */
  public static List<InstanceId> of(BudgetId budget, Collection<InstanceId> instances) {
    long hash = RendezvousHash.hash(budget.value());
    return instances.stream()
        .sorted(
            Comparator.<InstanceId>comparingLong(
                    id -> RendezvousHash.weight(RendezvousHash.hash(id.value()), hash))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .limit(HOLDERS_PER_REGION)
        .toList();
  }
}
