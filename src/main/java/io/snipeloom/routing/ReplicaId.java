package io.snipeloom.routing;

/**
 * Identifies one replica of a service.
 *
 * @param value the text form, not blank
 */
public record ReplicaId(String value) {

  /** Checks that the text is not blank. */
  public ReplicaId {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("replica id must not be blank");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
