package io.snipeloom.state;

import java.util.List;

/**
 * Rules that protect paid tokens: a top-up cannot be changed or removed, and the sum of the top-ups
 * of a budget must not overflow.
 */
final class TopUpRules {
  private TopUpRules() {}

  /** Returns whether the edit complies with the rules; if not, adds a violation to the list. */
  static boolean check(
      ConfigurationContent content,
      ConfigurationEdit edit,
      String pointer,
      List<Violation> violations) {
    if (edit instanceof ConfigurationEdit.Remove remove) {
      return checkRemoval(remove, pointer, violations);
    }
    if (!(edit instanceof ConfigurationEdit.AddTopUp add)) {
      return true;
    }
    TopUp topUp = add.topUp();
    Entry<TopUp> old = content.topUps().get(topUp.id());
    if (old != null) {
      return checkEqual(old.value(), topUp, pointer, violations);
    }
    long sum = content.indexes().toppedUpTokens(topUp.budget());
    if (topUp.tokens() > Long.MAX_VALUE - sum) {
      violations.add(
          new Violation(
              pointer + "/tokens",
              "the sum of the top-ups of %s would exceed %d"
                  .formatted(topUp.budget(), Long.MAX_VALUE)));
      return false;
    }
    return true;
  }

  private static boolean checkRemoval(
      ConfigurationEdit.Remove remove, String pointer, List<Violation> violations) {
    if (remove.section() != ConfigurationSection.TOP_UPS) {
      return true;
    }
    violations.add(new Violation(pointer, "a top-up cannot be removed"));
    return false;
  }

  private static boolean checkEqual(
      TopUp old, TopUp topUp, String pointer, List<Violation> violations) {
    if (old.equals(topUp)) {
      return true;
    }
    violations.add(
        new Violation(
            pointer + "/id",
            "top-up %s already exists and cannot be changed".formatted(topUp.id())));
    return false;
  }
}
