package io.snipeloom.state;

import java.util.List;

/** Small configuration entries, edits, changes and documents for tests. */
public final class ConfigurationSamples {
  private ConfigurationSamples() {}

  /** Returns a customer without API keys or a default budget. */
  public static Customer customer(String id) {
    return new Customer(CustomerId.of(id), "Name of " + id, List.of(), null, SpendPolicy.TIGHT);
  }

  /** Returns a budget of the given customer. */
  public static Budget budget(String id, String customer) {
    return new Budget(BudgetId.of(id), CustomerId.of(customer));
  }

  /** Returns a top-up of the given budget. */
  public static TopUp topUp(String id, String budget, long tokens) {
    return new TopUp(TopUpId.of(id), BudgetId.of(budget), tokens);
  }

  /** Returns an upstream of model engines. */
  public static Upstream engines(String id, String... models) {
    return new Upstream(
        UpstreamId.of(id),
        UpstreamKind.MODEL_ENGINE,
        List.of(models).stream().map(ModelId::of).toList(),
        true);
  }

  /** Returns an upstream of plain services. */
  public static Upstream services(String id) {
    return new Upstream(UpstreamId.of(id), UpstreamKind.PLAIN_SERVICE, List.of(), false);
  }

  /** Returns a request class of model traffic. */
  public static RequestClass modelClass(String id, String upstream) {
    return new RequestClass(
        RequestClassId.of(id), Urgency.PROMPT, UpstreamId.of(upstream), null, 500, 0, 30_000, 100);
  }

  /** Returns a request class of plain HTTP calls that are not idempotent. */
  public static RequestClass plainClass(String id, String upstream, String path) {
    return new RequestClass(
        RequestClassId.of(id),
        Urgency.NOT_REPEATABLE,
        UpstreamId.of(upstream),
        new Route("POST", path),
        0,
        5,
        10_000,
        100);
  }

  /** Returns an edit that creates or replaces the entry. */
  public static ConfigurationEdit put(Customer customer) {
    return new ConfigurationEdit.PutCustomer(customer);
  }

  /** Returns an edit that creates or replaces the entry. */
  public static ConfigurationEdit put(Budget budget) {
    return new ConfigurationEdit.PutBudget(budget);
  }

  /** Returns an edit that creates or replaces the entry. */
  public static ConfigurationEdit put(Upstream upstream) {
    return new ConfigurationEdit.PutUpstream(upstream);
  }

  /** Returns an edit that creates or replaces the entry. */
  public static ConfigurationEdit put(RequestClass requestClass) {
    return new ConfigurationEdit.PutRequestClass(requestClass);
  }

  /** Returns an edit that adds the top-up. */
  public static ConfigurationEdit add(TopUp topUp) {
    return new ConfigurationEdit.AddTopUp(topUp);
  }

  /** Returns an edit that removes an entry. */
  public static ConfigurationEdit remove(ConfigurationSection section, String id) {
    return new ConfigurationEdit.Remove(section, id);
  }

  /** Returns a change made by one operator. */
  public static ConfigurationChange change(long baseOffset, ConfigurationEdit... edits) {
    return new ConfigurationChange(baseOffset, "amina", List.of(edits));
  }

  /**
   * Returns a document at offset 0 with one customer, budget and top-up, and with one upstream and
   * request class of each kind.
   */
  public static ConfigurationDocument document() {
    return ConfigurationDocument.empty()
        .with(
            0,
            change(
                -1,
                put(customer("acme")),
                put(budget("acme-main", "acme")),
                add(topUp("t1", "acme-main", 1_000)),
                put(engines("engines", "draft-1")),
                put(services("desk")),
                put(modelClass("draft", "engines")),
                put(plainClass("vote", "desk", "/votes"))));
  }
}
