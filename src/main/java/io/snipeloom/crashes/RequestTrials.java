package io.snipeloom.crashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides which instance may send a refused request once more, to find out whether it crashes
 * replicas after all.
 *
 * <p>An instance claims the trial in the store. The first claim in the order of the store has it,
 * so that there is one for each conviction over all instances.
 *
 * <p>Not thread-safe.
 */
final class RequestTrials {
  /** How long a request waits until its claim is read. */
  private static final long CLAIM_TIMEOUT_NANOS = 600_000_000L;

  private final String claimant;
  private final Map<RequestTrait, String> claimants = new HashMap<>();
  private final Map<RequestTrait, Pending> pending = new LinkedHashMap<>();
  private final Set<RequestTrait> unstored = new LinkedHashSet<>();

  private record Pending(Consumer<Boolean> listener, long sinceNanos) {}

  /**
   * Creates trials of which none is claimed.
   *
   * @param claimant identifies this incarnation of the instance
   */
  RequestTrials(String claimant) {
    this.claimant = claimant;
  }

  /** Returns whether no instance has claimed the trial of a request, as far as is known. */
  boolean isOpen(RequestTrait request) {
    return !claimants.containsKey(request);
  }

  /** Returns whether this instance waits for its claim. */
  boolean isPending(RequestTrait request) {
    return pending.containsKey(request);
  }

  /**
   * Waits for the outcome of a claim of this instance.
   *
   * @param listener called once with true if this instance has the trial
   */
  void await(RequestTrait request, Consumer<Boolean> listener, long nowNanos) {
    pending.put(request, new Pending(listener, nowNanos));
  }

  /** Applies a claim, in the order in which the store keeps them. */
  void onClaimed(RequestTrait request, String byClaimant) {
    boolean first = claimants.putIfAbsent(request, byClaimant) == null;
    end(request, first && byClaimant.equals(claimant));
  }

  /** Applies claims that are stored, of which the order is not known. */
  void onListed(Map<RequestTrait, String> stored) {
    List.copyOf(pending.keySet()).forEach(request -> end(request, false));
    stored.forEach(claimants::putIfAbsent);
  }

  /** Ends the wait for a claim that could not be stored. */
  void onNotStored(RequestTrait request) {
    end(request, false);
  }

  /** Forgets the trial of a request that is no longer refused. */
  void clear(RequestTrait request) {
    claimants.remove(request);
    unstored.remove(request);
    end(request, false);
  }

  /** Stores all claims again, because the store may have lost them. */
  void onStoreReverted() {
    unstored.addAll(claimants.keySet());
  }

  /** Returns a request whose claim is to be stored again, empty if there is none. */
  Optional<RequestTrait> nextUnstored() {
    return unstored.stream().findFirst();
  }

  /** Records that the claim of a request has been stored again. */
  void onStoredAgain(RequestTrait request) {
    unstored.remove(request);
  }

  /** Returns who has the trial of a request, which has been claimed. */
  String claimantOf(RequestTrait request) {
    return claimants.get(request);
  }

  /** Ends the wait for claims that have not been read in time. */
  void tick(long nowNanos) {
    List<RequestTrait> late = new ArrayList<>();
    pending.forEach(
        (request, one) -> {
          if (nowNanos - one.sinceNanos() > CLAIM_TIMEOUT_NANOS) {
            late.add(request);
          }
        });
    late.forEach(request -> end(request, false));
  }

  private void end(RequestTrait request, boolean granted) {
    Pending one = pending.remove(request);
    if (one != null) {
      one.listener().accept(granted);
    }
  }
}
