package io.snipeloom.routing;

import io.snipeloom.state.RendezvousHash;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * The replicas that the parts of one prompt are assigned to by rendezvous hashing, and whether any
 * has them cached.
 *
 * <p>The candidates are ranked once for each part, when the part is first asked for, so that a
 * choice among many replicas takes time in proportion to their number. Not thread-safe.
 */
final class PartPlacement {
  /** A part that is assigned to every replica. */
  static final int EVERY_REPLICA = Integer.MAX_VALUE;

  private final Collection<ReplicaView> candidates;
  private final List<PromptPart> parts;
  private final ToIntFunction<PromptPart> copies;
  private final Long[] lowestWeights;
  private final Boolean[] cachedAnywhere;

  /**
   * Creates the placement of a prompt.
   *
   * @param candidates the replicas that accept requests
   * @param prompt the prompt
   * @param copies returns the number of replicas that a part is assigned to, at least 1
   */
  PartPlacement(
      Collection<ReplicaView> candidates, Prompt prompt, ToIntFunction<PromptPart> copies) {
    this.candidates = candidates;
    this.parts = prompt.parts();
    this.copies = copies;
    this.lowestWeights = new Long[parts.size()];
    this.cachedAnywhere = new Boolean[parts.size()];
  }

  /**
   * Returns whether a part is assigned to a replica.
   *
   * @param index the index of the part in the prompt
   */
  boolean isAssigned(ReplicaView candidate, int index) {
    if (lowestWeights[index] == null) {
      lowestWeights[index] = lowestWeight(parts.get(index));
    }
    return lowestWeights[index] == Long.MIN_VALUE
        || weight(candidate, parts.get(index)) >= lowestWeights[index];
  }

  /**
   * Returns whether a part is probably cached by one of the candidates.
   *
   * @param index the index of the part in the prompt
   */
  boolean isCachedAnywhere(int index) {
    if (cachedAnywhere[index] == null) {
      PromptPart part = parts.get(index);
      cachedAnywhere[index] =
          candidates.stream().anyMatch(view -> view.prefixCache().contains(part));
    }
    return cachedAnywhere[index];
  }

  /** Returns the lowest weight of the replicas that a part is assigned to. */
  private long lowestWeight(PromptPart part) {
    int count = copies.applyAsInt(part);
    if (count >= candidates.size()) {
      return Long.MIN_VALUE;
    }
    long[] weights = candidates.stream().mapToLong(view -> weight(view, part)).toArray();
    Arrays.sort(weights);
    return weights[weights.length - count];
  }

  private static long weight(ReplicaView view, PromptPart part) {
    return RendezvousHash.weightOf(view.replica().id().value(), part.id());
  }
}
