package io.snipeloom.coordination;

/** The counts and shares measured by one run of the trial. */
final class SpendTrialResult {
  long requests;
  long refused;
  long falselyRefused;
  long appends;
  long unspent;
  long overspent;
  long pool;
  long heldPerRouter;
  double usableShare = 1;

  /**
   * Counts a refusal. The refusal is false if a single account shared by all routers would have had
   * enough tokens.
   */
  void countRefusal(long freeTokens, long usedTokens, long toppedUpTokens) {
    if (refused == 0) {
      usableShare = (double) usedTokens / toppedUpTokens;
    }
    refused++;
    if (freeTokens >= SpendTrialSimulation.RESERVED_TOKENS_PER_REQUEST) {
      falselyRefused++;
    }
  }
}
