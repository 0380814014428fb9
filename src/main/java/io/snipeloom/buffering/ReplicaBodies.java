package io.snipeloom.buffering;

import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaView;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The bytes of request bodies that this instance has under way to each replica: those that the
 * replica has not taken yet, and those of the requests that it has not answered. Confined to the
 * event loop thread.
 */
public final class ReplicaBodies {
  private final BufferBounds bounds;
  private final Map<ReplicaId, Use> uses = new HashMap<>();

  /** Creates counts of nothing. */
  public ReplicaBodies(BufferBounds bounds) {
    this.bounds = bounds;
  }

  /** Begins to send a body to a replica. */
  public BodyTransfer begin(ReplicaId replica, long bytes) {
    Use use = uses.computeIfAbsent(replica, id -> new Use());
    use.unwrittenBytes += bytes;
    use.unansweredBytes += bytes;
    use.transfers++;
    return new BodyTransfer(this, replica, bytes);
  }

  /**
   * Returns the replicas that may be sent a body: those that nothing waits for, and those for which
   * little enough does.
   *
   * @param replicas the replicas to choose from
   * @param bytes the length of the body
   */
  public List<ReplicaView> withRoom(List<ReplicaView> replicas, long bytes) {
    if (uses.isEmpty()) {
      return replicas;
    }
    return replicas.stream().filter(view -> hasRoom(view.replica().id(), bytes)).toList();
  }

  private boolean hasRoom(ReplicaId replica, long bytes) {
    long unwritten = unwrittenBytes(replica);
    return unwritten == 0 || unwritten + bytes <= bounds.replicaBytes();
  }

  /** Returns the bytes that the replica has not taken yet. */
  public long unwrittenBytes(ReplicaId replica) {
    Use use = uses.get(replica);
    return use == null ? 0 : use.unwrittenBytes;
  }

  /** Returns the bytes of the requests that the replica has not answered. */
  public long unansweredBytes(ReplicaId replica) {
    Use use = uses.get(replica);
    return use == null ? 0 : use.unansweredBytes;
  }

  /** Returns the bytes that no replica has taken yet. */
  public long totalUnwrittenBytes() {
    return uses.values().stream().mapToLong(use -> use.unwrittenBytes).sum();
  }

  /** Returns the most bytes of unanswered requests at one replica. */
  public long mostUnansweredBytes() {
    return uses.values().stream().mapToLong(use -> use.unansweredBytes).max().orElse(0);
  }

  void onWritten(ReplicaId replica, long bytes) {
    uses.get(replica).unwrittenBytes -= bytes;
  }

  void onEnded(ReplicaId replica, long bytes) {
    uses.get(replica).unansweredBytes -= bytes;
  }

  void onDone(ReplicaId replica) {
    Use use = uses.get(replica);
    use.transfers--;
    if (use.transfers == 0) {
      uses.remove(replica);
    }
  }

  private static final class Use {
    private long unwrittenBytes;
    private long unansweredBytes;
    private int transfers;
  }
}
