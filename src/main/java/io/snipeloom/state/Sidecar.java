package io.snipeloom.state;

/** A sidecar incarnation that is live, or lost while holders may have unsettled work there. */
final class Sidecar {
  private final Incarnation incarnation;
  private final UpstreamId upstream;
  private final int index;
  private boolean lost;
  private int awaitedBy;

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

  boolean isForgettable() {
    return lost && awaitedBy == 0;
  }

  void markLost() {
    lost = true;
  }

  void addAwaiting(int holders) {
    awaitedBy += holders;
  }
}
