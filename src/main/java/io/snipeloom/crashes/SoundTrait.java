package io.snipeloom.crashes;

/**
 * A trait of a request that a replica survived.
 *
 * @param trait the trait
 * @param ageMillis how long ago, in milliseconds, at least 0
 */
public record SoundTrait(RequestTrait trait, long ageMillis) {

  /** Checks the range. */
  public SoundTrait {
    if (ageMillis < 0) {
      throw new IllegalArgumentException("age must be at least 0 but was " + ageMillis);
    }
  }
}
