package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.RequestMetadata;
import java.util.List;
import java.util.Optional;

/**
 * The event stream of one request over all its attempts: what its caller has received, whether it
 * may end, and where it may go on. Not thread-safe.
 */
final class RelayedStream {
  private final EventStream events = new EventStream();
  private Optional<StreamOrigin> origin = Optional.empty();

  /** Appends bytes and returns the events that are now complete; the result may be empty. */
  ByteBuf append(ByteBuf content) {
    return events.append(content);
  }

  /**
   * Sets what began the stream, if an earlier attempt of the caller received its first event.
   *
   * @param begunBy what began it
   * @param lastEventId the last event that the caller received
   */
  void resumeFrom(StreamOrigin begunBy, Optional<String> lastEventId) {
    origin = Optional.of(begunBy);
    lastEventId.ifPresent(events::startAfter);
  }

  /** Returns whether the current attempt sent what does not go on with the stream. */
  boolean isOutOfOrder() {
    return events.isOutOfOrder();
  }

  /**
   * Records the replica that produced events.
   *
   * @return the origin if these are the first events of the stream
   */
  Optional<StreamOrigin> onEvents(Replica replica) {
    if (origin.isPresent()) {
      return Optional.empty();
    }
    origin = Optional.of(StreamOrigin.of(replica));
    return origin;
  }

  /** Returns whether it is known what began the stream. */
  boolean hasOrigin() {
    return origin.isPresent();
  }

  /** Returns the replicas at which the stream may begin or go on. */
  List<ReplicaView> suitable(List<ReplicaView> replicas) {
    if (origin.isEmpty()) {
      return replicas;
    }
    StreamOrigin required = origin.get();
    return replicas.stream().filter(view -> required.isOriginOf(view.replica())).toList();
  }

  /** Prepares for the next attempt, which goes on after the last complete event. */
  void beginAttempt() {
    events.beginAttempt();
  }

  /**
   * Returns whether the stream may end here. The end of a connection, unlike a length or a last
   * chunk, does not show that the replica had nothing to send.
   *
   * @param framing how the end of the response is marked
   */
  boolean mayEnd(ResponseFraming framing) {
    if (events.eventCount() > 0 && events.partialBytes() > 0) {
      return false;
    }
    return !events.isInsideEvent() && (framing.isExplicit() || events.eventsOfAttempt() > 0);
  }

  /** Returns the number of bytes after the last complete event that is not a comment. */
  int pendingEventBytes() {
    return events.bytesSinceEvent();
  }

  /** Returns and removes the bytes after the last complete event. */
  ByteBuf takeRemainder() {
    return events.takeRemainder();
  }

  Optional<String> lastEventId() {
    return events.lastEventId();
  }

  /** Returns the number of complete events of the current attempt. */
  int eventsOfAttempt() {
    return events.eventsOfAttempt();
  }

  int eventCount() {
    return events.eventCount();
  }

  /**
   * Returns how far the current attempt has come.
   *
   * @param framing how the end of its response is marked
   */
  ResponseProgress progress(ResponseFraming framing) {
    return new ResponseProgress(framing, events.eventCount(), events.partialBytes());
  }

  /**
   * Returns where the next attempt goes on.
   *
   * @param metadata the metadata of the caller's request
   */
  ResumePosition position(RequestMetadata metadata) {
    String lastEventId = events.lastEventId().or(metadata::lastEventId).orElse("");
    return new ResumePosition(metadata.resumedAttempt().orElse(""), lastEventId);
  }
}
