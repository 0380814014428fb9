package io.snipeloom.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the replica for a request.
 *
 * <p>For model requests the score is the number of prompt tokens that would be read before the
 * first event: those that wait at the replica already, and those of this prompt that it does not
 * hold. A part is expected at the replicas that rendezvous hashing names for it, so all instances
 * place it alike without talking to each other. For other requests the score is the number of
 * requests per slot. Not thread-safe.
 */
public final class ReplicaPicker {
  /** A running request delays the others by about this many tokens of reading. */
  private static final long TOKENS_PER_RUNNING = 80;

  /** The expected unread part of a waiting request of another instance, in tokens. */
  private static final long TOKENS_PER_WAITING = 4_000;

  /** A hot part below this size is cheap enough to be read by every replica, in tokens. */
  private static final long SMALL_PART_TOKENS = 4_096;

  /** The replicas that hold a large hot part. */
  private static final int HOMES_OF_HOT_PART = 2;

  /** The tokens that a byte-saving pick of the own zone is worth. */
  private static final long OTHER_ZONE_TOKENS = 200;

  /** How much a replica that fails every request looks more loaded, in tokens and as a factor. */
  private static final long ERROR_TOKENS = 60_000;

  private static final double ERROR_FACTOR = 8;
  private static final double OTHER_ZONE_REQUESTS = 0.25;

  private final String zone;
  private final PartPopularity popularity = new PartPopularity();

  /**
   * Creates a picker.
   *
   * @param zone the availability zone of this instance
   */
  public ReplicaPicker(String zone) {
    this.zone = zone;
  }

  /**
   * Counts a prompt, so that parts which are often asked for are known.
   *
   * @param prompt the prompt
   * @param nowNanos the time
   */
  public void count(Prompt prompt, long nowNanos) {
    popularity.count(prompt.parts(), nowNanos);
  }

  /**
   * Chooses a replica for a model request.
   *
   * @param candidates the replicas that take work
   * @param prompt the prompt
   * @param nowNanos the time
   * @return the choice, empty if there is no candidate
   */
  public Optional<ReplicaView> pick(
      Collection<ReplicaView> candidates, Prompt prompt, long nowNanos) {
    ReplicaView best = null;
    double bestScore = Double.MAX_VALUE;
    for (ReplicaView candidate : preferUnpaused(candidates, nowNanos)) {
      double score = score(candidate, candidates, prompt, nowNanos);
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Chooses a replica for a request without a prompt.
   *
   * @param candidates the replicas that take work
   * @param nowNanos the time
   * @return the choice, empty if there is no candidate
   */
  public Optional<ReplicaView> pick(Collection<ReplicaView> candidates, long nowNanos) {
    ReplicaView best = null;
    double bestScore = Double.MAX_VALUE;
    for (ReplicaView candidate : preferUnpaused(candidates, nowNanos)) {
      double score = requestScore(candidate, nowNanos);
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the prompt tokens that a replica would have to read.
   *
   * @param candidate the replica
   * @param candidates all replicas that take work
   * @param prompt the prompt
   * @param nowNanos the time
   * @return the tokens
   */
  public long unreadTokens(
      ReplicaView candidate, Collection<ReplicaView> candidates, Prompt prompt, long nowNanos) {
    long unread = prompt.inputTokens();
    for (PromptPart part : prompt.parts()) {
      boolean held =
          candidate.memory().holds(part) || isExpected(candidate, candidates, part, nowNanos);
      if (!held) {
        return Math.max(0, unread);
      }
      unread -= part.tokens();
    }
    return Math.max(0, unread);
  }

  private double score(
      ReplicaView candidate, Collection<ReplicaView> candidates, Prompt prompt, long nowNanos) {
    ReplicaLoad load = candidate.load();
    long running = load.inFlight() + (long) load.othersRunning(nowNanos);
    return load.prefillTokens()
        + (double) load.waiting(nowNanos) * TOKENS_PER_WAITING
        + running * TOKENS_PER_RUNNING
        + unreadTokens(candidate, candidates, prompt, nowNanos)
        + candidate.health().errorShare() * ERROR_TOKENS
        + (candidate.replica().zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS);
  }

  private double requestScore(ReplicaView candidate, long nowNanos) {
    ReplicaLoad load = candidate.load();
    double requests =
        load.inFlight()
            + load.othersRunning(nowNanos)
            + load.waiting(nowNanos)
            + (candidate.replica().zone().equals(zone) ? 0 : OTHER_ZONE_REQUESTS);
    double errors = candidate.health().errorShare();
    return (requests + 1) * (1 + ERROR_FACTOR * errors * errors) / candidate.replica().slots();
  }

  private boolean isExpected(
      ReplicaView candidate, Collection<ReplicaView> candidates, PromptPart part, long nowNanos) {
    boolean hot = popularity.isHot(part, nowNanos);
    if (hot && part.tokens() < SMALL_PART_TOKENS) {
      return true;
    }
    int homes = hot ? HOMES_OF_HOT_PART : 1;
    long own = weight(candidate, part);
    int heavier = 0;
    for (ReplicaView other : candidates) {
      if (weight(other, part) > own) {
        heavier++;
      }
    }
    return heavier < homes;
  }

  private static long weight(ReplicaView view, PromptPart part) {
    return RendezvousHash.weightOf(view.replica().id().value(), part.id());
  }

  private static Collection<ReplicaView> preferUnpaused(
      Collection<ReplicaView> candidates, long nowNanos) {
    List<ReplicaView> unpaused =
        candidates.stream().filter(view -> !view.health().isPaused(nowNanos)).toList();
    return unpaused.isEmpty() ? candidates : unpaused;
  }
}
