package io.snipeloom.coordination;

import io.snipeloom.routing.Rendezvous;
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
public final class BudgetHolderPlacement {
  /** The holders of one budget in one region. */
  public static final int HOLDERS_PER_REGION = 3;

  private BudgetHolderPlacement() {}

  /**
   * Returns the holders of a budget.
   *
   * @param budget the budget
   * @param instances the instances of the region
   * @return the holders, the preferred one first
   */
  public static List<InstanceId> of(BudgetId budget, Collection<InstanceId> instances) {
    long hash = Rendezvous.of(budget.value());
    return instances.stream()
        .sorted(
            Comparator.<InstanceId>comparingLong(
                    id -> Rendezvous.weight(Rendezvous.of(id.value()), hash))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .limit(HOLDERS_PER_REGION)
        .toList();
  }
}
