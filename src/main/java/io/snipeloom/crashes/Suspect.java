package io.snipeloom.crashes;

/**
 * A trait of attempts that were in flight at a replica when it crashed.
 *
 * @param trait the trait
 * @param sentMillisBefore how long before the crash the youngest of them was sent, in milliseconds,
 *     at least 0
 * @param request the identifier of the request of the youngest of them
 * @param share the share of all attempts of the instance that have the trait, from 0 to 1
 */
public record Suspect(RequestTrait trait, long sentMillisBefore, String request, double share) {

  /** Checks the ranges. */
  public Suspect {
    if (sentMillisBefore < 0 || !(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException("suspect out of range");
    }
  }
}
