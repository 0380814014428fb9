package io.snipeloom.resumption;

import java.util.Optional;

/**
 * The result of looking for the origin of a stream.
 *
 * @param origin the origin; empty if it is unknown, so that the stream must not go on
 * @param source where the origin was found
 */
public record OriginLookup(Optional<StreamOrigin> origin, Source source) {

  /** Where an origin was found. */
  public enum Source {
    /** The stream began or was resumed at this instance. */
    MEMORY,
    /** Only one service and software version can have begun streams recently. */
    ONLY_POSSIBLE,
    /** Another instance or incarnation recorded it. */
    STORE,
    /** Another instance knows it. */
    PEER,
    /** All instances that can have begun the stream could do so at this origin only. */
    ONLY_REMAINING,
    /** Nothing tells the origin. */
    NONE
  }

  static OriginLookup found(StreamOrigin origin, Source source) {
    return new OriginLookup(Optional.of(origin), source);
  }

  static OriginLookup unknown() {
    return new OriginLookup(Optional.empty(), Source.NONE);
  }
}
