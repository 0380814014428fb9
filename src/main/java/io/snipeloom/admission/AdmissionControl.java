package io.snipeloom.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Decides whether a model request is sent to a replica. Not thread-safe.
 *
 * <p>A request is refused if no replica could serve it before its caller gives up, or, with a
 * chance that grows with the strain, if more urgent requests miss their time already. The excess of
 * a customer yields to the requests of its own kind too. While too little is known of the replicas,
 * every request is sent.
 */
public final class AdmissionControl {
  /** Strain from which the excess of a customer yields, before anything else does. */
  private static final double EXCESS_START = 0.3;

  /** Strain added until all of the excess would yield. */
  private static final double EXCESS_RANGE = 0.3;

  /** The most that a customer's excess is refused, so that no customer is starved. */
  private static final double EXCESS_MAX = 0.9;

  /**
   * Strain from which less urgent requests yield. What is sent until the next reports arrive comes
   * on top, so that more urgent ones would miss their time if it were near 1.
   */
  private static final double YIELD_START = 0.4;

  /** Strain added until all would yield; a threshold would refuse all or none by turns. */
  private static final double YIELD_RANGE = 0.4;

  /** The most that a kind is refused for others, so that no kind is starved. */
  private static final double YIELD_MAX = 0.8;

  /** One in so many requests that seem impossible is sent, to find out whether they are. */
  private static final int TRIAL_INTERVAL = 16;

  /** The output is as likely to be shorter than its estimate; few are below this part of it. */
  private static final double SHORT_OUTPUT = 0.5;

  private final Random random;
  private final KindProfiles profiles = new KindProfiles();
  private final PredictionAccuracy accuracy = new PredictionAccuracy();
  private final StandingStrain strains = new StandingStrain();
  private final CustomerShares shares = new CustomerShares();
  private final Map<String, Integer> impossible = new HashMap<>();

  /**
   * Creates a control that has seen no request.
   *
   * @param random spreads the decisions and the times to come back
   */
  public AdmissionControl(Random random) {
    this.random = random;
  }

  /**
   * Decides about a request.
   *
   * @param request the request
   * @param predictions predicts how replicas would serve it, and more urgent ones
   * @param nowNanos the current time
   */
  public AdmissionReview review(AdmissionRequest request, Predictions predictions, long nowNanos) {
    profiles.record(request, nowNanos);
    shares.onAsked(request.kind(), request.customer(), 1, nowNanos);
    ServiceOutlook outlook = predictions.predict(request.cost(), request.uncachedTokens());
    if (!outlook.isKnown()) {
      return AdmissionReview.UNKNOWN;
    }
    Collection<KindProfiles.Profile> urgent =
        profiles.atLeastAsUrgent(request.service(), request.priority(), nowNanos);
    return new Judgement(request, outlook, urgent, predictions, nowNanos).review();
  }

  /**
   * Counts requests of a customer that another instance received.
   *
   * @param kind the kind of request
   * @param customer the customer
   * @param requests the number of requests
   * @param nowNanos the current time
   */
  public void onAskedElsewhere(String kind, String customer, int requests, long nowNanos) {
    shares.onAsked(kind, customer, requests, nowNanos);
  }

  /**
   * Records the first event of a request that was sent.
   *
   * @param kind the kind of request
   * @param review the review of the request
   * @param actualMillis the time from the review to the first event, in milliseconds
   */
  public void onFirstEvent(String kind, AdmissionReview review, double actualMillis) {
    if (review.ageMillis() >= 0) {
      accuracy.record(kind, review.firstMillis(), actualMillis);
    }
  }

  /** The inputs of one decision. */
  private final class Judgement {
    private final AdmissionRequest request;
    private final ServiceOutlook outlook;
    private final double strainOfMoreUrgent;
    private final double strain;
    private final double drainMillis;
    private final double excess;

    Judgement(
        AdmissionRequest request,
        ServiceOutlook outlook,
        Collection<KindProfiles.Profile> urgent,
        Predictions predictions,
        long nowNanos) {
      this.request = request;
      this.outlook = outlook;
      double worstOfMoreUrgent = 0;
      double worst = 0;
      double longestDrain = 0;
      for (KindProfiles.Profile other : urgent) {
        KindStrain seen = strains.of(other, () -> strainOf(other, predictions), nowNanos);
        worst = Math.max(worst, seen.strain());
        if (other.priority() < request.priority()) {
          worstOfMoreUrgent = Math.max(worstOfMoreUrgent, seen.strain());
        }
        longestDrain = Math.max(longestDrain, seen.drainMillis());
      }
      this.strainOfMoreUrgent = worstOfMoreUrgent;
      this.strain = worst;
      this.drainMillis = longestDrain;
      this.excess =
          worst > EXCESS_START ? shares.excess(request.kind(), request.customer(), nowNanos) : 0;
    }

    AdmissionReview review() {
      if (isImpossible()) {
        return isTrial() ? admitted("trial") : refused("too_late");
      }
      double yielding = yieldChance();
      double draw = random.nextDouble();
      if (draw < yielding) {
        return refused("yields");
      }
      return draw < yielding + excess * excessChance() ? refused("beyond_share") : admitted("");
    }

    private boolean isImpossible() {
      double early = accuracy.earlyRatio(request.kind());
      double firstMillis = outlook.firstMillis() * early;
      double rest = (outlook.endMillis() - outlook.firstMillis()) * SHORT_OUTPUT;
      return firstMillis > request.patienceMillis()
          || firstMillis + Math.max(0, rest) > request.remainingMillis();
    }

    private boolean isTrial() {
      return impossible.merge(request.kind(), 1, Integer::sum) % TRIAL_INTERVAL == 0;
    }

    private double yieldChance() {
      return rise(strainOfMoreUrgent, YIELD_START, YIELD_RANGE, YIELD_MAX);
    }

    private double excessChance() {
      return rise(strain, EXCESS_START, EXCESS_RANGE, EXCESS_MAX);
    }

    private AdmissionReview admitted(String note) {
      return reviewOf(AdmissionDecision.ADMITTED, note);
    }

    private AdmissionReview refused(String reason) {
      long retryMillis = RetrySchedule.retryMillis(drainMillis, request, random.nextDouble());
      return reviewOf(AdmissionDecision.refused(reason, retryMillis), "");
    }

    private AdmissionReview reviewOf(AdmissionDecision decision, String note) {
      return new AdmissionReview(
          decision,
          note,
          outlook.firstMillis(),
          outlook.endMillis(),
          strain,
          excess,
          outlook.ageMillis());
    }
  }

  private KindStrain strainOf(KindProfiles.Profile kind, Predictions predictions) {
    return KindStrain.of(kind, predictions, accuracy.medianRatio(kind.kind()));
  }

  private static double rise(double strain, double start, double range, double max) {
    return Math.max(0, Math.min(max, (strain - start) / range));
  }
}
