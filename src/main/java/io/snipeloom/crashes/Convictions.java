package io.snipeloom.crashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The convictions in force, and which of them are yet to be stored or removed from the store.
 *
 * <p>Not thread-safe.
 */
final class Convictions {
  /** How long a conviction lasts unless it is lifted before, in milliseconds. */
  private static final long CONVICTION_MILLIS = 86_400_000L;

  /** The most convictions that are kept; the oldest one makes room. */
  private static final int MAX_CONVICTIONS = 1_000;

  /** The pause after a call to the store that failed. */
  private static final long RETRY_DELAY_NANOS = 500_000_000L;

  private final ConvictionStore store;
  private final LongSupplier timeOfDayMillis;
  private final CrashControl.Listener listener;
  private final Consumer<RequestTrait> onEnded;
  private final Map<RequestTrait, Conviction> inForce = new LinkedHashMap<>();
  private final Set<RequestTrait> unstored = new LinkedHashSet<>();
  private final Set<RequestTrait> unremoved = new LinkedHashSet<>();
  private boolean storing;
  private long lastFailureNanos = Long.MIN_VALUE / 2;

  /**
   * Creates an empty collection.
   *
   * @param listener receives what changes
   * @param onEnded called with the trait of each conviction that has ended
   */
  Convictions(
      ConvictionStore store,
      LongSupplier timeOfDayMillis,
      CrashControl.Listener listener,
      Consumer<RequestTrait> onEnded) {
    this.store = store;
    this.timeOfDayMillis = timeOfDayMillis;
    this.listener = listener;
    this.onEnded = onEnded;
  }

  /** Returns the conviction of a trait, empty if there is none. */
  Optional<Conviction> find(RequestTrait trait) {
    return Optional.ofNullable(inForce.get(trait));
  }

  boolean contains(RequestTrait trait) {
    return inForce.containsKey(trait);
  }

  /** Convicts a trait and stores that. */
  void convict(RequestTrait trait, int crashes) {
    Conviction conviction = new Conviction(trait, crashes, timeOfDayMillis.getAsLong());
    inForce.put(trait, conviction);
    unstored.add(trait);
    listener.onConvicted(conviction);
    displaceOldest();
  }

  /** Ends the conviction of a trait, if there is one, and removes it from the store. */
  void lift(RequestTrait trait, CrashControl.EndReason reason) {
    if (end(trait, reason)) {
      unremoved.add(trait);
    }
  }

  /** Stores all convictions again, because the store may have lost them. */
  void onStoreReverted() {
    unstored.addAll(inForce.keySet());
  }

  /** Applies a conviction that is stored. */
  void onStored(Conviction conviction) {
    unstored.remove(conviction.trait());
    if (inForce.put(conviction.trait(), conviction) == null) {
      listener.onConvicted(conviction);
      displaceOldest();
    }
  }

  /** Applies that the conviction of a trait is no longer stored. */
  void onRemoved(RequestTrait trait) {
    unremoved.remove(trait);
    end(trait, CrashControl.EndReason.REMOVED);
  }

  /**
   * Applies all convictions that are stored. Those of this instance that it has yet to store stay.
   *
   * @return the traits whose convictions are no longer stored
   */
  List<RequestTrait> onListed(Collection<Conviction> stored) {
    Set<RequestTrait> kept = new HashSet<>(unstored);
    stored.forEach(conviction -> kept.add(conviction.trait()));
    List<RequestTrait> gone = new ArrayList<>(inForce.keySet());
    gone.removeAll(kept);
    stored.forEach(this::onStored);
    return gone;
  }

  /** Ends the expired convictions and starts the calls to the store that are due. */
  void tick(long nowNanos) {
    endExpired();
    if (storing || nowNanos - lastFailureNanos < RETRY_DELAY_NANOS) {
      return;
    }
    if (!unremoved.isEmpty()) {
      RequestTrait trait = unremoved.iterator().next();
      storing = true;
      store.remove(trait, done -> onCallEnded(done, () -> unremoved.remove(trait), nowNanos));
    } else if (!unstored.isEmpty()) {
      RequestTrait trait = unstored.iterator().next();
      storing = true;
      store.put(
          inForce.get(trait), done -> onCallEnded(done, () -> unstored.remove(trait), nowNanos));
    }
  }

  private void onCallEnded(boolean done, Runnable onDone, long startNanos) {
    storing = false;
    if (done) {
      onDone.run();
    } else {
      lastFailureNanos = startNanos;
      listener.onConvictionNotStored(unstored.size() + unremoved.size());
    }
  }

  private void displaceOldest() {
    while (inForce.size() > MAX_CONVICTIONS) {
      lift(inForce.keySet().iterator().next(), CrashControl.EndReason.DISPLACED);
    }
  }

  private void endExpired() {
    if (inForce.isEmpty()) {
      return;
    }
    long now = timeOfDayMillis.getAsLong();
    List<RequestTrait> expired =
        inForce.values().stream()
            .filter(conviction -> now - conviction.decidedAtMillis() > CONVICTION_MILLIS)
            .map(Conviction::trait)
            .toList();
    expired.forEach(trait -> lift(trait, CrashControl.EndReason.EXPIRED));
  }

  private boolean end(RequestTrait trait, CrashControl.EndReason reason) {
    unstored.remove(trait);
    if (inForce.remove(trait) == null) {
      return false;
    }
    onEnded.accept(trait);
    listener.onConvictionEnded(trait, reason);
    return true;
  }
}
