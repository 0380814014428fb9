package io.snipeloom.resumption;

import java.util.List;

/**
 * What another instance knows of streams. Immutable.
 *
 * @param incarnation the start of the instance that answers; it says nothing of earlier ones
 * @param complete whether it knows all streams that this incarnation began recently
 * @param known the origins of those of the streams that it knows
 */
public record PeerAnswer(String incarnation, boolean complete, List<OriginRecord> known) {

  /** Makes an immutable copy of the origins. */
  public PeerAnswer {
    known = List.copyOf(known);
  }
}
