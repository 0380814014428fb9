package io.snipeloom.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Simulates operators that append changes to one log concurrently. Each operator bases its changes
 * on a document that may be out of date, and every reader applies the log in order.
 */
class ConfigurationRaceTest {
  private static final int SCHEDULES = 2_000;
  private static final int STEPS = 40;
  private static final int OPERATORS = 3;
  private static final List<String> CUSTOMERS = List.of("a", "b", "c");

  /**
   * The result of applying one change of the log.
   *
   * @param document the document after the change; unchanged if the change was refused
   * @param refusal the reason for the refusal; null if the change was accepted
   */
  private record Outcome(ConfigurationDocument document, SnipeloomException refusal) {}

  @Test
  void staleChangesConflictAndTopUpsAreCreditedOnce() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      new Schedule(seed).run();
    }
  }

  @Test
  void concurrentChangesOfDifferentEntriesAreBothAccepted() {
    ConfigurationDocument both =
        ConfigurationSamples.document()
            .with(1, ConfigurationSamples.change(0, ConfigurationSamples.put(named("acme", "A"))))
            .with(2, ConfigurationSamples.change(0, ConfigurationSamples.put(named("new", "B"))));
    assertThat(both.customer(CustomerId.of("acme")).orElseThrow().name(), is("A"));
    assertThat(both.customer(CustomerId.of("new")).orElseThrow().name(), is("B"));
  }

  private static Customer named(String id, String name) {
    return new Customer(CustomerId.of(id), name, List.of(), null, SpendPolicy.TIGHT);
  }

  /** One random interleaving of the operators, which is determined by its seed. */
  private static final class Schedule {
    private final String context;
    private final Random random;
    private final List<ConfigurationChange> log = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final long[] readLengths = new long[OPERATORS];
    private final Map<String, Long> lastEditOffsets = new HashMap<>();
    private final Map<String, Long> topUps = new HashMap<>();

    private Schedule(long seed) {
      this.context = "seed " + seed;
      this.random = new Random(seed);
    }

    private void run() {
      for (int step = 0; step < STEPS; step++) {
        int operator = random.nextInt(OPERATORS);
        if (random.nextInt(3) == 0) {
          readLengths[operator] = random.nextInt(log.size() + 1);
        }
        append(change(operator));
      }
      checkThatReadersAgree();
    }

    private ConfigurationDocument documentAt(long logLength) {
      return logLength == 0
          ? ConfigurationDocument.empty()
          : outcomes.get((int) logLength - 1).document();
    }

    private ConfigurationChange change(int operator) {
      List<ConfigurationEdit> edits = new ArrayList<>();
      for (String customer : CUSTOMERS) {
        if (random.nextInt(3) == 0) {
          edits.add(edit(operator, customer));
        }
      }
      if (edits.isEmpty() || random.nextInt(4) == 0) {
        edits.add(topUp());
      }
      return new ConfigurationChange(
          documentAt(readLengths[operator]).offset(), "operator-" + operator, edits);
    }

    private ConfigurationEdit edit(int operator, String customer) {
      return switch (random.nextInt(4)) {
        case 0 -> new ConfigurationEdit.Remove(ConfigurationSection.CUSTOMERS, customer);
        case 1 -> ConfigurationSamples.put(ConfigurationSamples.budget("of-" + customer, customer));
        default ->
            ConfigurationSamples.put(
                new Customer(
                    CustomerId.of(customer),
                    "by " + operator + " at " + log.size(),
                    List.of(),
                    null,
                    SpendPolicy.TIGHT));
      };
    }

    private ConfigurationEdit topUp() {
      String customer = CUSTOMERS.get(random.nextInt(CUSTOMERS.size()));
      return ConfigurationSamples.add(
          ConfigurationSamples.topUp(
              "t" + random.nextInt(5), "of-" + customer, 1 + random.nextInt(2)));
    }

    private void append(ConfigurationChange change) {
      ConfigurationDocument before = documentAt(log.size());
      long offset = log.size();
      ConfigurationSnapshot snapshot = before.toSnapshot();
      Outcome outcome = apply(before, offset, change);
      assertThat(context, before.toSnapshot(), is(snapshot));
      assertThat(context, outcome.document().offset() >= before.offset(), is(true));
      boolean isStale = change.edits().stream().anyMatch(edit -> isStale(change, edit));
      if (outcome.refusal() == null) {
        assertThat(context + ": a stale change was accepted", isStale, is(false));
        change.edits().forEach(edit -> recordAccepted(offset, edit));
      } else {
        assertThat(context, outcome.document(), is(before));
        assertThat(context, outcome.refusal().violations(), is(not(List.of())));
        boolean isConflict = outcome.refusal().code() == ErrorCode.CONFIGURATION_CONFLICT;
        assertThat(
            context + ": a refusal is a conflict if and only if the change is stale",
            isConflict,
            is(isStale));
      }
      log.add(change);
      outcomes.add(outcome);
    }

    private boolean isStale(ConfigurationChange change, ConfigurationEdit edit) {
      return !(edit instanceof ConfigurationEdit.AddTopUp)
          && lastEditOffsets.getOrDefault(key(edit), -1L) > change.baseOffset();
    }

    private void recordAccepted(long offset, ConfigurationEdit edit) {
      if (edit instanceof ConfigurationEdit.AddTopUp add) {
        Long tokens = topUps.putIfAbsent(edit.entryId(), add.topUp().tokens());
        assertThat(context, tokens == null || tokens == add.topUp().tokens(), is(true));
      } else {
        lastEditOffsets.put(key(edit), offset);
      }
    }

    private static String key(ConfigurationEdit edit) {
      return edit.section() + "/" + edit.entryId();
    }

    private static Outcome apply(
        ConfigurationDocument before, long offset, ConfigurationChange change) {
      try {
        return new Outcome(before.with(offset, change), null);
      } catch (SnipeloomException refusal) {
        return new Outcome(before, refusal);
      }
    }

    /**
     * Checks that a reader that starts from the snapshot at a random offset reaches the same
     * documents as the one that applied all changes, and that each top-up is credited once.
     */
    private void checkThatReadersAgree() {
      int start = random.nextInt(log.size());
      ConfigurationDocument restored = ConfigurationDocument.of(documentAt(start).toSnapshot());
      for (int offset = start; offset < log.size(); offset++) {
        restored = apply(restored, offset, log.get(offset)).document();
        assertThat(context, restored.toSnapshot(), is(documentAt(offset + 1).toSnapshot()));
      }
      long sum = topUps.values().stream().mapToLong(Long::longValue).sum();
      long credited = 0;
      for (String customer : CUSTOMERS) {
        credited += restored.toppedUpTokens(BudgetId.of("of-" + customer));
      }
      assertThat(context + ": every top-up is credited once", credited, is(sum));
      assertThat(context, restored.offset(), lessThanOrEqualTo((long) log.size()));
    }
  }
}
