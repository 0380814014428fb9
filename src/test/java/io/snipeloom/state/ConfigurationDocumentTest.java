package io.snipeloom.state;

import static io.snipeloom.state.ConfigurationSamples.add;
import static io.snipeloom.state.ConfigurationSamples.budget;
import static io.snipeloom.state.ConfigurationSamples.change;
import static io.snipeloom.state.ConfigurationSamples.customer;
import static io.snipeloom.state.ConfigurationSamples.document;
import static io.snipeloom.state.ConfigurationSamples.engines;
import static io.snipeloom.state.ConfigurationSamples.modelClass;
import static io.snipeloom.state.ConfigurationSamples.plainClass;
import static io.snipeloom.state.ConfigurationSamples.put;
import static io.snipeloom.state.ConfigurationSamples.remove;
import static io.snipeloom.state.ConfigurationSamples.services;
import static io.snipeloom.state.ConfigurationSamples.topUp;
import static io.snipeloom.state.ConfigurationSection.BUDGETS;
import static io.snipeloom.state.ConfigurationSection.CUSTOMERS;
import static io.snipeloom.state.ConfigurationSection.REQUEST_CLASSES;
import static io.snipeloom.state.ConfigurationSection.TOP_UPS;
import static io.snipeloom.state.ConfigurationSection.UPSTREAMS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationDocumentTest {
  private static SnipeloomException expectRefusal(
      ConfigurationDocument base, ConfigurationEdit... edits) {
    ConfigurationSnapshot before = base.toSnapshot();
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () -> base.with(base.offset() + 1, change(base.offset(), edits)));
    assertThat("a refused change does not modify the document", base.toSnapshot(), is(before));
    return error;
  }

  private static List<String> pointers(SnipeloomException error) {
    return error.violations().stream().map(Violation::pointer).toList();
  }

  private static void assertInvalid(
      String pointer, ConfigurationDocument base, ConfigurationEdit... edits) {
    SnipeloomException error = expectRefusal(base, edits);
    assertThat(error.getMessage(), error.code(), is(ErrorCode.INVALID_CONFIGURATION));
    assertThat(pointers(error), contains(pointer));
  }

  @Test
  void reportsAllViolationsOfOneChange() {
    SnipeloomException error =
        expectRefusal(
            document(),
            put(budget("b", "nobody")),
            add(topUp("t2", "nothing", 0)),
            put(modelClass("c", "nowhere")),
            put(customer("fine")));
    assertThat(
        pointers(error),
        contains(
            "/edits/1/topUp/tokens",
            "/edits/0/budget/customer",
            "/edits/1/topUp/budget",
            "/edits/2/requestClass/upstream"));
  }

  @Test
  void refusesReferencesToMissingEntries() {
    assertInvalid("/edits/0/budget/customer", document(), put(budget("b", "nobody")));
    assertInvalid("/edits/0/topUp/budget", document(), add(topUp("t2", "nothing", 1)));
    assertInvalid("/edits/0/requestClass/upstream", document(), put(modelClass("c", "nowhere")));
  }

  @Test
  void refusesDefaultBudgetOfAnotherCustomer() {
    Customer stranger =
        new Customer(
            CustomerId.of("stranger"), "", List.of(), BudgetId.of("acme-main"), SpendPolicy.TIGHT);
    assertInvalid("/edits/0/customer/defaultBudget", document(), put(stranger));
  }

  @Test
  void refusesToChangeTheCustomerOfBudgetsWithTopUps() {
    assertInvalid(
        "/edits/1/budget/customer",
        document(),
        put(customer("other")),
        put(budget("acme-main", "other")));
  }

  @Test
  void refusesTopUpsWhoseSumOverflows() {
    assertInvalid(
        "/edits/0/topUp/tokens", document(), add(topUp("t2", "acme-main", Long.MAX_VALUE - 999)));
    assertInvalid(
        "/edits/1/topUp/tokens",
        document(),
        add(topUp("t2", "acme-main", Long.MAX_VALUE - 1_000)),
        add(topUp("t3", "acme-main", 1)));
    ConfigurationDocument full =
        document().with(1, change(0, add(topUp("t2", "acme-main", Long.MAX_VALUE - 1_000))));
    assertThat(full.toppedUpTokens(BudgetId.of("acme-main")), is(Long.MAX_VALUE));
  }

  @Test
  void countsRepeatedTopUpsOnce() {
    ConfigurationDocument repeated =
        document().with(1, change(-1, add(topUp("t1", "acme-main", 1_000))));
    assertThat(repeated.toppedUpTokens(BudgetId.of("acme-main")), is(1_000L));
  }

  @Test
  void refusesDifferentTopUpWithTheSameIdentifier() {
    assertInvalid("/edits/0/topUp/id", document(), add(topUp("t1", "acme-main", 1_001)));
  }

  @Test
  void refusesToRemoveTopUpsAndReferencedOrMissingEntries() {
    assertInvalid("/edits/0", document(), remove(TOP_UPS, "t1"));
    assertInvalid("/edits/0", document(), remove(BUDGETS, "acme-main"));
    assertInvalid("/edits/0", document(), remove(CUSTOMERS, "acme"));
    assertInvalid("/edits/0", document(), remove(UPSTREAMS, "engines"));
    assertInvalid("/edits/0", document(), remove(REQUEST_CLASSES, "nothing"));
  }

  @Test
  void removesEntriesThatReferToEachOtherInOneChange() {
    ConfigurationDocument remaining =
        document()
            .with(1, change(0, remove(UPSTREAMS, "engines"), remove(REQUEST_CLASSES, "draft")));
    assertThat(remaining.upstream(UpstreamId.of("engines")).isPresent(), is(false));
  }

  @Test
  void refusesDuplicateRoutesModelsAndKeys() {
    assertInvalid(
        "/edits/0/requestClass/route", document(), put(plainClass("seal", "desk", "/votes")));
    assertInvalid("/edits/0/upstream/models/0", document(), put(engines("more", "draft-1")));
    String hash = "ab".repeat(32);
    Customer one = new Customer(CustomerId.of("one"), "", List.of(hash), null, SpendPolicy.TIGHT);
    Customer two = new Customer(CustomerId.of("two"), "", List.of(hash), null, SpendPolicy.TIGHT);
    ConfigurationDocument withOne = document().with(1, change(0, put(one)));
    assertInvalid("/edits/0/customer/apiKeyHashes/0", withOne, put(two));
    assertThat(withOne.customerByKeyHash(hash).map(Customer::id).get(), is(CustomerId.of("one")));
  }

  @Test
  void refusesUpstreamKindThatIsInvalidForItsRequestClasses() {
    assertInvalid("/edits/0/upstream/kind", document(), put(services("engines")));
  }

  @Test
  void refusesTwoEditsOfTheSameEntryInOneChange() {
    assertInvalid("/edits/1", document(), put(customer("acme")), put(customer("acme")));
  }

  @Test
  void refusesBaseOffsetAfterTheLatestConfiguration() {
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class, () -> document().with(1, change(1, put(customer("acme")))));
    assertThat(pointers(error), contains("/baseOffset"));
  }

  @Test
  void refusesMalformedOperatorNames() {
    ConfigurationChange change =
        new ConfigurationChange(0, "two words", List.of(put(customer("acme"))));
    SnipeloomException error =
        assertThrows(SnipeloomException.class, () -> document().with(1, change));
    assertThat(pointers(error), contains("/operator"));
  }

  @Test
  void refusesOffsetThatIsNotGreaterThanTheCurrentOne() {
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class, () -> document().with(0, change(0, put(customer("x")))));
    assertThat(error.code(), is(ErrorCode.INVARIANT_VIOLATED));
  }

  @Test
  void conflictPointsToTheEditOfTheChangedEntry() {
    ConfigurationDocument changed = document().with(4, change(0, put(customer("acme"))));
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () -> changed.with(5, change(0, put(customer("x")), put(customer("acme")))));
    assertThat(error.code(), is(ErrorCode.CONFIGURATION_CONFLICT));
    assertThat(pointers(error), contains("/edits/1"));
  }

  @Test
  void refusesToRecreateEntryRemovedAfterTheBase() {
    ConfigurationDocument removed = document().with(4, change(0, remove(REQUEST_CLASSES, "draft")));
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () -> removed.with(5, change(0, put(modelClass("draft", "engines")))));
    assertThat(error.code(), is(ErrorCode.CONFIGURATION_CONFLICT));
    ConfigurationDocument restored = ConfigurationDocument.of(removed.toSnapshot());
    assertThrows(
        SnipeloomException.class,
        () -> restored.with(5, change(0, put(modelClass("draft", "engines")))));
    assertThat(restored.with(5, change(4, put(modelClass("draft", "engines")))).offset(), is(5L));
  }

  @Test
  void refusesNewEntriesIfTheBaseIsOlderThanTheRetainedRemovals() {
    ConfigurationDocument current = document();
    long offset = current.offset();
    for (int i = 0; i <= RemovalHistory.MAX_REMOVALS; i++) {
      current = current.with(offset + 1, change(offset, put(customer("c" + i))));
      current = current.with(offset + 2, change(offset + 1, remove(CUSTOMERS, "c" + i)));
      offset += 2;
    }
    ConfigurationDocument latest = current;
    assertThat(latest.toSnapshot().removals().size(), is(RemovalHistory.MAX_REMOVALS));
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () -> latest.with(latest.offset() + 1, change(1, put(customer("c0")))));
    assertThat(error.code(), is(ErrorCode.CONFIGURATION_CONFLICT));
  }

  @Test
  void returnsPagesInIdentifierOrder() {
    ConfigurationDocument three =
        document().with(1, change(0, put(customer("b")), put(customer("c"))));
    assertThat(three.page(CUSTOMERS, "", 2).size(), is(2));
    assertThat(
        three.page(CUSTOMERS, "b", 2).stream()
            .map(entry -> ((Customer) entry.value()).id().value())
            .toList(),
        contains("c"));
  }
}
