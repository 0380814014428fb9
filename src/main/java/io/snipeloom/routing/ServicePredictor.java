package io.snipeloom.routing;

import io.snipeloom.cost.PredictedService;
import io.snipeloom.cost.RequestCost;

/** Predicts how replicas would serve a request. */
public interface ServicePredictor {

  /**
   * Predicts how a replica would serve a request that is sent to it now.
   *
   * @param replica the replica
   * @param cost what the request is likely to cost
   * @param uncachedTokens the prompt tokens that are not expected in the cache of the replica
   * @param nowNanos the current time
   * @return the prediction, {@link PredictedService#UNKNOWN} if too little was observed
   */
  PredictedService predict(
      ReplicaView replica, RequestCost cost, long uncachedTokens, long nowNanos);
}
