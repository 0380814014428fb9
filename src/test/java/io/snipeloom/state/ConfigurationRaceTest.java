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
 * Operators race over one log: each reads a document at some instance, which may lag, and appends
 * changes based on it; every reader applies the log in order.
 */
class ConfigurationRaceTest {
  private static final int SCHEDULES = 2_000;
  private static final int STEPS = 40;
  private static final int OPERATORS = 3;
  private static final List<String> CUSTOMERS = List.of("a", "b", "c");

  /** What one append made of the document, as a reader saw it. */
  private record Verdict(ConfigurationDocument document, SnipeloomException refusal) {}

  @Test
  void everySchedulePicksOneWinnerAndLosesNothing() {
    for (long seed = 0; seed < SCHEDULES; seed++) {
      new Schedule(seed).run();
    }
  }

  @Test
  void changesOfDifferentEntriesBothLand() {
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

  /** One random run. */
  private static final class Schedule {
    private final String place;
    private final Random random;
    private final List<ConfigurationChange> log = new ArrayList<>();
    private final List<Verdict> verdicts = new ArrayList<>();
    private final long[] readAt = new long[OPERATORS];
    private final Map<String, Long> lastWrite = new HashMap<>();
    private final Map<String, Long> topUps = new HashMap<>();

    private Schedule(long seed) {
      this.place = "seed " + seed;
      this.random = new Random(seed);
    }

    private void run() {
      for (int step = 0; step < STEPS; step++) {
        int operator = random.nextInt(OPERATORS);
        if (random.nextInt(3) == 0) {
          readAt[operator] = random.nextInt(log.size() + 1);
        }
        append(change(operator));
      }
      checkAgreement();
    }

    private ConfigurationDocument documentAt(long length) {
      return length == 0
          ? ConfigurationDocument.empty()
          : verdicts.get((int) length - 1).document();
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
          documentAt(readAt[operator]).offset(), "operator-" + operator, edits);
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
      Verdict verdict = apply(before, offset, change);
      assertThat(place, before.toSnapshot(), is(snapshot));
      assertThat(place, verdict.document().offset() >= before.offset(), is(true));
      boolean isStale = change.edits().stream().anyMatch(edit -> isStale(change, edit));
      if (verdict.refusal() == null) {
        assertThat(place + ": a stale change won", isStale, is(false));
        change.edits().forEach(edit -> accept(offset, edit));
      } else {
        assertThat(place, verdict.document(), is(before));
        assertThat(place, verdict.refusal().violations(), is(not(List.of())));
        boolean isConflict = verdict.refusal().code() == ErrorCode.CONFIGURATION_CONFLICT;
        assertThat(place + ": the loser is told", isConflict, is(isStale));
      }
      log.add(change);
      verdicts.add(verdict);
    }

    private boolean isStale(ConfigurationChange change, ConfigurationEdit edit) {
      return !(edit instanceof ConfigurationEdit.AddTopUp)
          && lastWrite.getOrDefault(key(edit), -1L) > change.baseOffset();
    }

    private void accept(long offset, ConfigurationEdit edit) {
      if (edit instanceof ConfigurationEdit.AddTopUp add) {
        Long tokens = topUps.putIfAbsent(edit.entryId(), add.topUp().tokens());
        assertThat(place, tokens == null || tokens == add.topUp().tokens(), is(true));
      } else {
        lastWrite.put(key(edit), offset);
      }
    }

    private static String key(ConfigurationEdit edit) {
      return edit.section() + "/" + edit.entryId();
    }

    private static Verdict apply(
        ConfigurationDocument before, long offset, ConfigurationChange change) {
      try {
        return new Verdict(before.with(offset, change), null);
      } catch (SnipeloomException refusal) {
        return new Verdict(before, refusal);
      }
    }

    /** Another reader, which restarts from a snapshot somewhere, reaches the same document. */
    private void checkAgreement() {
      int start = random.nextInt(log.size());
      ConfigurationDocument reader = ConfigurationDocument.of(documentAt(start).toSnapshot());
      for (int offset = start; offset < log.size(); offset++) {
        reader = apply(reader, offset, log.get(offset)).document();
        assertThat(place, reader.toSnapshot(), is(documentAt(offset + 1).toSnapshot()));
      }
      long sum = topUps.values().stream().mapToLong(Long::longValue).sum();
      long credited = 0;
      for (String customer : CUSTOMERS) {
        credited += reader.toppedUpTokens(BudgetId.of("of-" + customer));
      }
      assertThat(place + ": every top-up is credited once", credited, is(sum));
      assertThat(place, reader.offset(), lessThanOrEqualTo((long) log.size()));
    }
  }
}
