package io.snipeloom.buffering;

import io.snipeloom.routing.ReplicaId;

/** One body under way to one replica. Confined to the event loop thread. */
public final class BodyTransfer {
  private final ReplicaBodies bodies;
  private final ReplicaId replica;
  private final long bytes;
  private boolean written;
  private boolean ended;

  BodyTransfer(ReplicaBodies bodies, ReplicaId replica, long bytes) {
    this.bodies = bodies;
    this.replica = replica;
    this.bytes = bytes;
  }

  /** Records that the body was written or never will be; further calls change nothing. */
  public void onWritten() {
    if (!written) {
      written = true;
      bodies.onWritten(replica, bytes);
      finishIfDone();
    }
  }

  /** Records that the attempt has ended; further calls change nothing. */
  public void onEnded() {
    if (!ended) {
      ended = true;
      bodies.onEnded(replica, bytes);
      finishIfDone();
    }
  }

  private void finishIfDone() {
    if (written && ended) {
      bodies.onDone(replica);
    }
  }
}
