package io.snipeloom.admission;

import io.snipeloom.cost.RequestCost;

/** Predicts how the replicas of a service would serve a request that is sent now. */
@FunctionalInterface
public interface Predictions {

  /**
   * Predicts how each replica that accepts requests would serve a request.
   *
   * @param cost what the request is likely to cost
   * @param uncachedTokens the prompt tokens that a replica would have to process
   */
  ServiceOutlook predict(RequestCost cost, long uncachedTokens);
}
