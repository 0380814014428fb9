package io.snipeloom.edge;

import io.snipeloom.spend.SpendEvents;
import io.snipeloom.spend.SpendStatus;
import io.snipeloom.state.CustomerId;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Writes a log line for each token claim, return and loan, and counts claims and loans in the
 * metrics. Confined to the event loop thread.
 */
final class SpendEventLogger implements SpendEvents {
  private final EventLog log;
  private final FleetMetrics metrics;

  SpendEventLogger(EventLog log, FleetMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void onGranted(CustomerId customer, long tokens, long claimedTokens, long limit) {
    metrics.count("claims");
    log.log(
        "claim_granted",
        "customer",
        customer,
        "tokens",
        tokens,
        "claimed",
        claimedTokens,
        "limit",
        limit);
  }

  @Override
  public void onReturned(CustomerId customer, long tokens) {
    log.log("claim_returned", "customer", customer, "tokens", tokens);
  }

  @Override
  public void onBorrowed(CustomerId customer, long tokens) {
    metrics.count("loans_taken");
    log.log("tokens_borrowed", "customer", customer, "tokens", tokens);
  }

  @Override
  public void onLent(CustomerId customer, long tokens) {
    metrics.count("loans_given");
    log.log("tokens_lent", "customer", customer, "tokens", tokens);
  }

  @Override
  public void onPredecessor(String writer, long ageNanos, ElapsedBy by) {
    log.log(
        "predecessor",
        "incarnation",
        writer,
        "report_age_ms",
        TimeUnit.NANOSECONDS.toMillis(ageNanos),
        "known_by",
        by);
  }

  @Override
  public void onInherited(CustomerId customer, long tokens, long strandedTokens) {
    if (tokens > 0) {
      metrics.count("claims_inherited");
    }
    if (strandedTokens > 0) {
      metrics.count("claims_stranded");
    }
    log.log("claim_inherited", "customer", customer, "tokens", tokens, "stranded", strandedTokens);
  }

  @Override
  public void onStatus(CustomerId customer, SpendStatus status) {
    log.log(
        "tokens",
        "customer",
        customer,
        "spent",
        status.spentTokens(),
        "reserved",
        status.reservedTokens(),
        "held",
        status.availableTokens(),
        "allowed",
        status.allowedTokens(),
        "claimed",
        status.claimedTokens(),
        "unclaimed",
        status.limit() - status.claimedTokens(),
        "limit",
        status.limit());
  }

  @Override
  public void onClaimsHeld(long era, Set<String> asked) {
    metrics.count("claims_held");
    log.log("claims_held", "era", era, "asked", asked.size());
  }

  @Override
  public void onClaimsResumed(long era, long heldNanos, Set<String> unheard) {
    if (!unheard.isEmpty()) {
      metrics.count("claims_resumed_unheard");
    }
    log.log(
        "claims_resumed",
        "era",
        era,
        "held_ms",
        TimeUnit.NANOSECONDS.toMillis(heldNanos),
        "unheard",
        unheard);
  }

  @Override
  public void onClaimRestored(CustomerId customer, long claimedTokens) {
    metrics.count("claims_restored");
    log.log("claim_restored", "customer", customer, "claimed", claimedTokens);
  }

  @Override
  public void onConflict(Set<CustomerId> customers, int failures) {
    metrics.count("claim_conflicts");
    log.log("claim_conflict", "customers", customers, "in_a_row", failures);
  }

  @Override
  public void onClaimLost(CustomerId customer, long tokens) {
    log.log("claim_lost", "customer", customer, "tokens", tokens);
  }
}
