package io.snipeloom.state;

import org.pcollections.TreePMap;

/**
 * Reverse references and sums over a configuration document, kept up to date with each edit so that
 * no rule needs to scan a section.
 *
 * <p>Immutable and thread-safe.
 *
 * @param budgetCounts the number of budgets of each customer that has any
 * @param toppedUp the sum of the top-ups of each budget that has any
 * @param keyHolders the customers that hold each API key hash
 * @param modelServers the upstreams that serve each model
 * @param classes the request classes of each upstream
 * @param routes the request classes of each route
 */
record ConfigurationIndexes(
    TreePMap<CustomerId, Integer> budgetCounts,
    TreePMap<BudgetId, Long> toppedUp,
    ReferenceIndex<String, CustomerId> keyHolders,
    ReferenceIndex<ModelId, UpstreamId> modelServers,
    ReferenceIndex<UpstreamId, RequestClassId> classes,
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
    ReferenceIndex<String, CustomerId> holders = keyHolders;
    for (String hash : customer.apiKeyHashes()) {
      holders = holders.plus(hash, customer.id());
    }
    return withKeyHolders(holders);
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
        toppedUp.plus(topUp.budget(), sum),
        keyHolders,
        modelServers,
        classes,
        routes);
  }

  ConfigurationIndexes plus(Upstream upstream) {
    ReferenceIndex<ModelId, UpstreamId> servers = modelServers;
    for (ModelId model : upstream.models()) {
      servers = servers.plus(model, upstream.id());
    }
    return withModelServers(servers);
  }

  ConfigurationIndexes plus(RequestClass requestClass) {
    return withClasses(
        classes.plus(requestClass.upstream(), requestClass.id()),
        routes.plus(requestClass.route(), requestClass.id()));
  }

  ConfigurationIndexes minus(Customer customer) {
    ReferenceIndex<String, CustomerId> holders = keyHolders;
    for (String hash : customer.apiKeyHashes()) {
      holders = holders.minus(hash, customer.id());
    }
    return withKeyHolders(holders);
  }

  ConfigurationIndexes minus(Budget budget) {
    int left = budgetCount(budget.customer()) - 1;
    return withBudgetCounts(
        left == 0
            ? budgetCounts.minus(budget.customer())
            : budgetCounts.plus(budget.customer(), left));
  }

  ConfigurationIndexes minus(Upstream upstream) {
    ReferenceIndex<ModelId, UpstreamId> servers = modelServers;
    for (ModelId model : upstream.models()) {
      servers = servers.minus(model, upstream.id());
    }
    return withModelServers(servers);
  }

  ConfigurationIndexes minus(RequestClass requestClass) {
    return withClasses(
        classes.minus(requestClass.upstream(), requestClass.id()),
        routes.minus(requestClass.route(), requestClass.id()));
  }

  int budgetCount(CustomerId customer) {
    Integer count = customer == null ? null : budgetCounts.get(customer);
    return count == null ? 0 : count;
  }

  long toppedUpTokens(BudgetId budget) {
    Long sum = toppedUp.get(budget);
    return sum == null ? 0 : sum;
  }

  private ConfigurationIndexes withKeyHolders(ReferenceIndex<String, CustomerId> holders) {
    return new ConfigurationIndexes(budgetCounts, toppedUp, holders, modelServers, classes, routes);
  }

  private ConfigurationIndexes withBudgetCounts(TreePMap<CustomerId, Integer> counts) {
    return new ConfigurationIndexes(counts, toppedUp, keyHolders, modelServers, classes, routes);
  }

  private ConfigurationIndexes withModelServers(ReferenceIndex<ModelId, UpstreamId> servers) {
    return new ConfigurationIndexes(budgetCounts, toppedUp, keyHolders, servers, classes, routes);
  }

  private ConfigurationIndexes withClasses(
      ReferenceIndex<UpstreamId, RequestClassId> newClasses,
      ReferenceIndex<Route, RequestClassId> newRoutes) {
    return new ConfigurationIndexes(
        budgetCounts, toppedUp, keyHolders, modelServers, newClasses, newRoutes);
  }
}
