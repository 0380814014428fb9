package io.snipeloom.routing;

/**
 * The version of the software that a replica runs. Versions have no order; streams of different
 * versions do not fit together.
 *
 * @param value the text form, not blank
 */
public record SoftwareVersion(String value) {

  /** Checks that the text is not blank. */
  public SoftwareVersion {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("software version must not be blank");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
