package io.snipeloom.coordination;

/** Reads what this instance sees of the fleet. Implementations are thread-safe. */
public interface StatusReader {

  /**
   * Returns what this instance sees of the fleet.
   *
   * @return the status
   */
  FleetStatus status();
}
