package io.snipeloom.state;

import java.util.List;

/**
 * A serializable copy of a configuration document. It contains everything on which the outcome of
 * later changes depends.
 *
 * @param offset the log offset of the last accepted change; -1 before the first change
 * @param removals the retained removals, oldest first
 * @param forgottenUpTo the greatest log offset whose removals have been evicted; -1 if none have
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
   * The removal of an entry, ordered by log offset first.
   *
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
