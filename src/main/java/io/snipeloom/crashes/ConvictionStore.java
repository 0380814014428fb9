package io.snipeloom.crashes;

import java.util.function.Consumer;

/** Stores evidence and convictions where all instances can read them. */
public interface ConvictionStore {

  /**
   * Appends evidence.
   *
   * @param listener called once with true if it was stored; if false, it may have been
   */
  void append(EvidenceBatch batch, Consumer<Boolean> listener);

  /**
   * Stores a conviction, which replaces another one of the same trait.
   *
   * @param listener called once with true if it was stored; if false, it may have been
   */
  void put(Conviction conviction, Consumer<Boolean> listener);

  /**
   * Claims the trial of a refused request, which the first claim in the order of the store has.
   *
   * @param claimant who claims it
   * @param listener called once with true if the claim was stored; if false, it may have been
   */
  void claimTrial(RequestTrait request, String claimant, Consumer<Boolean> listener);

  /**
   * Removes the conviction of a trait and the claims of its trial.
   *
   * @param listener called once with true if it was removed; if false, it may have been
   */
  void remove(RequestTrait trait, Consumer<Boolean> listener);
}
