package io.snipeloom.coordination;

/** What a trial counted. */
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

  /** Notes a refusal; it is false if one account for all routers would have had the tokens. */
  void refuse(long free, long used, long toppedUp) {
    if (refused == 0) {
      usableShare = (double) used / toppedUp;
    }
    refused++;
    if (free >= TrialWorld.UPPER_BOUND) {
      falselyRefused++;
    }
  }
}
