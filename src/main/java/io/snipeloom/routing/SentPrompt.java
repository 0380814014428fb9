package io.snipeloom.routing;

import java.util.List;

/**
 * The shared parts of a prompt that an instance has sent to a replica. Immutable.
 *
 * @param replica the replica
 * @param parts the parts, in prompt order
 */
public record SentPrompt(ReplicaId replica, List<PromptPart> parts) {

  /** Copies the parts. */
  public SentPrompt {
    parts = List.copyOf(parts);
  }
}
