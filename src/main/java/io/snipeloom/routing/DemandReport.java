package io.snipeloom.routing;

import java.util.List;

/**
 * What one instance tells the others of its requests. Immutable.
 *
 * @param instance the name of the instance
 * @param demands its unfinished requests, by replica; replicas without any are left out
 * @param prompts the prompts that it sent since its report before
 * @param asked the model requests that it received since its report before
 */
public record DemandReport(
    String instance,
    List<ReplicaDemand> demands,
    List<SentPrompt> prompts,
    List<AskedRequests> asked) {

  /** Copies the lists. */
  public DemandReport {
    demands = List.copyOf(demands);
    prompts = List.copyOf(prompts);
    asked = List.copyOf(asked);
  }

  /**
   * Creates a report that tells of no received requests.
   *
   * @param instance the name of this instance
   * @param demands its unfinished requests, by replica
   * @param prompts the prompts that it sent since its report before
   */
  public DemandReport(String instance, List<ReplicaDemand> demands, List<SentPrompt> prompts) {
    this(instance, demands, prompts, List.of());
  }

  /** Returns whether the report tells of no request. */
  public boolean isEmpty() {
    return demands.isEmpty() && prompts.isEmpty() && asked.isEmpty();
  }
}
