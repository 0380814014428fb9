package io.snipeloom.state;

import java.util.List;

/**
 * A set of edits to the configuration document that is accepted or refused as a whole.
 *
 * @param baseOffset the log offset of the configuration on which the change is based, or -1 for the
 *     empty one; the change is refused if an entry that it edits has changed since then
 * @param operator the name of the operator who made the change
 * @param edits the edits, in the order in which they are applied
 */
public record ConfigurationChange(long baseOffset, String operator, List<ConfigurationEdit> edits) {

  /** The maximum number of edits in one change. */
  public static final int MAX_EDITS = 10_000;

  /** Copies the edits. */
  public ConfigurationChange {
    edits = List.copyOf(edits);
  }
}
