package io.snipeloom.state;

/**
 * A sidecar incarnation that is live, or that was lost while holders may have unsettled work on it.
 */
final class Sidecar {
  private final Incarnation incarnation;
  private final UpstreamId upstream;
  private final int index;
  private boolean lost;
  private int awaitingHolders;

  Sidecar(Incarnation incarnation, UpstreamId upstream, int index, boolean lost) {
    this.incarnation = incarnation;
    this.upstream = upstream;
    this.index = index;
    this.lost = lost;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  UpstreamId upstream() {
    return upstream;
  }

  int index() {
    return index;
  }

  boolean isLost() {
    return lost;
  }

  boolean isRemovable() {
    return lost && awaitingHolders == 0;
  }

  void markLost() {
    lost = true;
  }

  void addAwaitingHolders(int holders) {
    awaitingHolders += holders;
  }
}
