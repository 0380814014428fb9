package io.snipeloom.state;

import java.util.List;

/**
 * The plain form of a configuration document, for storing and restoring it with all that later
 * changes depend on.
 *
 * @param offset the log offset of the last accepted change
 * @param customers the customers
 * @param budgets the budgets
 * @param topUps the top-ups
 * @param upstreams the upstreams
 * @param requestClasses the request classes
 * @param removals the remembered removals
 * @param forgottenUpTo the greatest offset whose removals are no longer remembered; -1 if none
 */
public record ConfigurationSnapshot(
    long offset,
    List<Entry<Customer>> customers,
    List<Entry<Budget>> budgets,
    List<Entry<TopUp>> topUps,
    List<Entry<Upstream>> upstreams,
    List<Entry<RequestClass>> requestClasses,
    List<Removal> removals,
    long forgottenUpTo) {

  /** Copies the lists. */
  public ConfigurationSnapshot {
    customers = List.copyOf(customers);
    budgets = List.copyOf(budgets);
    topUps = List.copyOf(topUps);
    upstreams = List.copyOf(upstreams);
    requestClasses = List.copyOf(requestClasses);
    removals = List.copyOf(removals);
  }

  /**
   * A removed entry.
   *
   * @param section the section
   * @param entryId the text form of the identifier
   * @param removedAt the log offset of the change that removed it
   */
  public record Removal(ConfigurationSection section, String entryId, long removedAt)
      implements Comparable<Removal> {
    @Override
    public int compareTo(Removal other) {
      int byOffset = Long.compare(removedAt, other.removedAt);
      if (byOffset != 0) {
        return byOffset;
      }
      int bySection = section.compareTo(other.section);
      return bySection != 0 ? bySection : entryId.compareTo(other.entryId);
    }
  }
}
