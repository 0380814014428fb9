package io.snipeloom.admission;

/**
 * How far the replicas of a service are from serving a kind of request in time. Immutable.
 *
 * @param strain the wait before a request is processed, as a part of the longest wait with which it
 *     is in time; 1 is just in time
 * @param drainMillis the time until the wait is short enough if nothing is added, in milliseconds
 */
record KindStrain(double strain, double drainMillis) {
  /**
   * The least part of the target that counts as the allowed wait. A prompt that takes longer than
   * the target by itself cannot be helped by refusing others.
   */
  private static final double MIN_SLACK_SHARE = 0.25;

  /** No strain. */
  static final KindStrain NONE = new KindStrain(0, 0);

  /**
   * Returns the strain of a kind of request.
   *
   * @param profile what its requests are like
   * @param predictions predicts how replicas would serve them
   * @param correction what the predicted times to the first event are multiplied by
   */
  static KindStrain of(KindProfiles.Profile profile, Predictions predictions, double correction) {
    ServiceOutlook whole = predictions.predict(profile.cost(), profile.averageUncachedTokens());
    ServiceOutlook waiting = predictions.predict(profile.cost(), 0);
    double waitMillis = waiting.neededFirstMillis();
    double processMillis = Math.max(0, whole.neededFirstMillis() - waitMillis);
    double slackMillis =
        Math.max(
            profile.targetMillis() - processMillis * correction,
            profile.targetMillis() * MIN_SLACK_SHARE);
    return new KindStrain(
        waiting.strain(slackMillis, profile.targetGapMillis(), correction),
        Math.max(0, waitMillis * correction - slackMillis));
  }
}
