package io.snipeloom.state;

import java.util.List;

/** Rules that keep what was paid: a top-up stays as it is, and sums do not overflow. */
final class TopUpRules {
  private TopUpRules() {}

  /** Adds a violation and returns false if the edit breaks a rule. */
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
      return checkSame(old.value(), topUp, pointer, violations);
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

  private static boolean checkSame(
      TopUp old, TopUp topUp, String pointer, List<Violation> violations) {
    if (old.equals(topUp)) {
      return true;
    }
    violations.add(
        new Violation(
            pointer + "/id", "top-up %s exists and cannot be changed".formatted(topUp.id())));
    return false;
  }
}
