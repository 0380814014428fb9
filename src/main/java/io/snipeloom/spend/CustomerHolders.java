package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Names the instances that claim tokens of a customer ahead, so that the tokens of one customer are
 * not spread over a large fleet in pieces smaller than a request.
 *
 * <p>In a large fleet a few instances, chosen by rendezvous hashing of the customer, claim ahead
 * for all. The others claim what their requests need, and borrow while they cannot. Instances that
 * know different members choose different ones, which costs only a larger claim. Immutable.
 *
 * @param instance the name of this instance
 * @param others the names of the other live instances
 */
public record CustomerHolders(String instance, Set<String> others) {
  /** The number of instances that claim ahead; one of them may be lost at any time. */
  static final int HOLDERS = 3;

  /** In a fleet of at most this size each instance claims ahead for itself. */
  static final int MAX_EVEN_FLEET = 8;

  /** The holders while no other instance is known. */
  public static final CustomerHolders ALONE = new CustomerHolders("", Set.of());

  /** Copies the names. */
  public CustomerHolders {
    others = Set.copyOf(others);
  }

  /** Returns what this instance does for a customer. */
  ClaimRole roleOf(CustomerId customer) {
    if (others.size() < MAX_EVEN_FLEET) {
      return ClaimRole.EVEN;
    }
    long ownWeight = weight(instance, customer);
    long before = others.stream().filter(name -> weight(name, customer) > ownWeight).count();
    return before < HOLDERS ? ClaimRole.HOLDER : ClaimRole.BORROWER;
  }

  /**
   * Returns the other instances that hold tokens of a customer, the most likely one first; none if
   * every instance may hold some.
   *
   * @param customer the customer
   */
  public List<String> othersOf(CustomerId customer) {
    if (others.size() < MAX_EVEN_FLEET) {
      return List.of();
    }
    return others.stream()
        .sorted(Comparator.comparingLong((String name) -> weight(name, customer)).reversed())
        .limit(HOLDERS)
        .toList();
  }

  private static long weight(String name, CustomerId customer) {
    return RendezvousHash.weightOf(name, customer.value());
  }
}
