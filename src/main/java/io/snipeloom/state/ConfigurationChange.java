package io.snipeloom.state;

import java.util.List;

/**
 * A change of configuration, accepted or refused as a whole.
 *
 * @param baseOffset the log offset of the configuration on which the change was based; the change
 *     loses if an entry that it touches has changed since
 * @param operator the operator who made the change
 * @param edits the edits, applied in order
 */
public record ConfigurationChange(long baseOffset, String operator, List<ConfigurationEdit> edits) {

  /** The most edits of one change. */
  public static final int MAX_EDITS = 10_000;

  /** Copies the edits. */
  public ConfigurationChange {
    edits = List.copyOf(edits);
  }
}
