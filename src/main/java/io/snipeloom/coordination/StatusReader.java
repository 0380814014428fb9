package io.snipeloom.coordination;

/** Provides the state of the fleet as this instance sees it. Implementations are thread-safe. */
public interface StatusReader {

  /** Returns the state of the fleet as this instance sees it. */
  FleetStatus status();
}
