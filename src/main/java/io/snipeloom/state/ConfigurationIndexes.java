package io.snipeloom.state;

import org.pcollections.TreePMap;

/**
 * Reverse references and sums over the entries of a configuration document. They are updated with
 * each edit, so that the rules can be checked without a scan of a section.
 *
 * <p>Immutable and thread-safe.
 *
 * @param budgetCounts the number of budgets of each customer that has at least one
 * @param topUpSums the sum of the top-ups, in tokens, of each budget that has at least one
 * @param customersByKeyHash the customers that use each API key hash
 * @param upstreamsByModel the upstreams that serve each model
 * @param classesByUpstream the request classes of each upstream
 * @param routes the request classes of each route
 */
record ConfigurationIndexes(
    TreePMap<CustomerId, Integer> budgetCounts,
    TreePMap<BudgetId, Long> topUpSums,
    ReferenceIndex<String, CustomerId> customersByKeyHash,
    ReferenceIndex<ModelId, UpstreamId> upstreamsByModel,
    ReferenceIndex<UpstreamId, RequestClassId> classesByUpstream,
    ReferenceIndex<Route, RequestClassId> routes) {

  static ConfigurationIndexes empty() {
    return new ConfigurationIndexes(
        TreePMap.empty(),
        TreePMap.empty(),
        ReferenceIndex.empty(),
        ReferenceIndex.empty(),
        ReferenceIndex.empty(),
        ReferenceIndex.empty());
  }

  ConfigurationIndexes plus(Customer customer) {
    ReferenceIndex<String, CustomerId> newCustomers = customersByKeyHash;
    for (String hash : customer.apiKeyHashes()) {
      newCustomers = newCustomers.plus(hash, customer.id());
    }
    return withCustomersByKeyHash(newCustomers);
  }

  ConfigurationIndexes plus(Budget budget) {
    return budget.customer() == null
        ? this
        : withBudgetCounts(
            budgetCounts.plus(budget.customer(), budgetCount(budget.customer()) + 1));
  }

  ConfigurationIndexes plus(TopUp topUp) {
    long sum = Math.addExact(toppedUpTokens(topUp.budget()), topUp.tokens());
    return new ConfigurationIndexes(
        budgetCounts,
        topUpSums.plus(topUp.budget(), sum),
        customersByKeyHash,
        upstreamsByModel,
        classesByUpstream,
        routes);
  }

  ConfigurationIndexes plus(Upstream upstream) {
    ReferenceIndex<ModelId, UpstreamId> newUpstreams = upstreamsByModel;
    for (ModelId model : upstream.models()) {
      newUpstreams = newUpstreams.plus(model, upstream.id());
    }
    return withUpstreamsByModel(newUpstreams);
  }

  ConfigurationIndexes plus(RequestClass requestClass) {
    return withClasses(
        classesByUpstream.plus(requestClass.upstream(), requestClass.id()),
        routes.plus(requestClass.route(), requestClass.id()));
  }

  ConfigurationIndexes minus(Customer customer) {
    ReferenceIndex<String, CustomerId> newCustomers = customersByKeyHash;
    for (String hash : customer.apiKeyHashes()) {
      newCustomers = newCustomers.minus(hash, customer.id());
    }
    return withCustomersByKeyHash(newCustomers);
  }

  ConfigurationIndexes minus(Budget budget) {
    int remaining = budgetCount(budget.customer()) - 1;
    return withBudgetCounts(
        remaining == 0
            ? budgetCounts.minus(budget.customer())
            : budgetCounts.plus(budget.customer(), remaining));
  }

  ConfigurationIndexes minus(Upstream upstream) {
    ReferenceIndex<ModelId, UpstreamId> newUpstreams = upstreamsByModel;
    for (ModelId model : upstream.models()) {
      newUpstreams = newUpstreams.minus(model, upstream.id());
    }
    return withUpstreamsByModel(newUpstreams);
  }

  ConfigurationIndexes minus(RequestClass requestClass) {
    return withClasses(
        classesByUpstream.minus(requestClass.upstream(), requestClass.id()),
        routes.minus(requestClass.route(), requestClass.id()));
  }

  /** Returns the number of budgets of a customer; 0 if it is null. */
  int budgetCount(CustomerId customer) {
    Integer count = customer == null ? null : budgetCounts.get(customer);
    return count == null ? 0 : count;
  }

  /** Returns the sum of the top-ups of a budget in tokens; 0 if it has none. */
  long toppedUpTokens(BudgetId budget) {
    Long sum = topUpSums.get(budget);
    return sum == null ? 0 : sum;
  }

  private ConfigurationIndexes withCustomersByKeyHash(
      ReferenceIndex<String, CustomerId> newCustomers) {
    return new ConfigurationIndexes(
        budgetCounts, topUpSums, newCustomers, upstreamsByModel, classesByUpstream, routes);
  }

  private ConfigurationIndexes withBudgetCounts(TreePMap<CustomerId, Integer> newCounts) {
    return new ConfigurationIndexes(
        newCounts, topUpSums, customersByKeyHash, upstreamsByModel, classesByUpstream, routes);
  }

  private ConfigurationIndexes withUpstreamsByModel(
      ReferenceIndex<ModelId, UpstreamId> newUpstreams) {
    return new ConfigurationIndexes(
        budgetCounts, topUpSums, customersByKeyHash, newUpstreams, classesByUpstream, routes);
  }

  private ConfigurationIndexes withClasses(
      ReferenceIndex<UpstreamId, RequestClassId> newClasses,
      ReferenceIndex<Route, RequestClassId> newRoutes) {
    return new ConfigurationIndexes(
        budgetCounts, topUpSums, customersByKeyHash, upstreamsByModel, newClasses, newRoutes);
  }
}
