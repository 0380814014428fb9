package io.snipeloom.routing;

import io.snipeloom.state.Moment;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Whether the registry was unavailable for so long that entries of live replicas may have lapsed,
 * and whether those replicas have had the time to register again.
 *
 * <p>A call without an answer says that the registry may be unavailable, no more: its connection
 * may be dead. For how long, two answers bound: the last one before the call and the next one.
 * Absences that follow each other within the time in which an entry lapses count as one, since a
 * replica may have missed a heartbeat in each. Not thread-safe.
 */
final class RegistryAbsence {
  /** The time within which a live replica registers again once the registry is available. */
  static final long REREGISTRATION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  private final LeaseTerms terms;
  private Optional<Moment> lastAvailable = Optional.empty();
  private Optional<Moment> availableBefore = Optional.empty();
  private Optional<Moment> lastAbsent = Optional.empty();
  private Optional<Moment> returned = Optional.empty();
  private boolean suspected;

  RegistryAbsence(LeaseTerms terms) {
    this.terms = terms;
  }

  /** Records a call that the registry refused or has not answered in time. */
  void onNoAnswer() {
    suspected = true;
  }

  /**
   * Records an answer of the registry.
   *
   * @param availableAt a moment at which the registry was available, as the answer shows
   * @param now the current moment
   */
  void onAnswer(Moment availableAt, Moment now) {
    if (suspected) {
      endAbsence(now);
    }
    suspected = false;
    lastAvailable =
        Optional.of(lastAvailable.map(last -> Moment.later(last, availableAt)).orElse(availableAt));
  }

  private void endAbsence(Moment now) {
    if (!continuesEarlierAbsence()) {
      availableBefore = lastAvailable;
    }
    lastAbsent = Optional.of(now);
    boolean tooShort =
        availableBefore
            .filter(before -> !terms.mayLapseWithin(now.maxElapsedNanosSince(before)))
            .isPresent();
    if (!tooShort) {
      returned = Optional.of(now);
    }
  }

  private boolean continuesEarlierAbsence() {
    return lastAvailable.isPresent()
        && lastAbsent
            .filter(absent -> !terms.mayHaveLapsed(absent, lastAvailable.get()))
            .isPresent();
  }

  /** Records that the registry has come back without some of its entries. */
  void onEntriesLost(Moment now) {
    availableBefore = Optional.empty();
    lastAbsent = Optional.of(now);
    returned = Optional.of(now);
  }

  /** Returns whether the registry may be unavailable, or was and live replicas may be missing. */
  boolean isRecent(Moment now) {
    return suspected || isReregistering(now);
  }

  /** Returns when the registry was available before that, empty if it is not known. */
  Optional<Moment> availableBefore() {
    return availableBefore;
  }

  private boolean isReregistering(Moment now) {
    return returned.filter(since -> now.nanos() - since.nanos() < REREGISTRATION_NANOS).isPresent();
  }
}
