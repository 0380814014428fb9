package io.snipeloom.coordination;

import io.snipeloom.routing.RendezvousHash;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.InstanceId;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Names the few instances of a region that claim a budget in bulk and lend to the others.
 *
 * <p>Whoever has another view of the region may name others; that costs an extra claim only.
 */
public final class BudgetHolders {
  /** The holders of one budget in one region. */
  public static final int HOLDERS_PER_REGION = 3;

  private BudgetHolders() {}

  /**
   * Returns the holders of a budget.
   *
   * @param budget the budget
   * @param instances the instances of the region
   * @return the holders, the preferred one first
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
