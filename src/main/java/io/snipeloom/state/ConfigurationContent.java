package io.snipeloom.state;

import io.snipeloom.state.ConfigurationSnapshot.Removal;
import org.pcollections.TreePMap;

/**
 * The sections of a configuration document and their indexes. Edits are applied without validation.
 *
 * <p>Immutable and thread-safe. A method that applies an edit returns new content, which shares all
 * but a logarithmic number of nodes with the old one.
 */
record ConfigurationContent(
    TreePMap<CustomerId, Entry<Customer>> customers,
    TreePMap<BudgetId, Entry<Budget>> budgets,
    TreePMap<TopUpId, Entry<TopUp>> topUps,
    TreePMap<UpstreamId, Entry<Upstream>> upstreams,
    TreePMap<RequestClassId, Entry<RequestClass>> requestClasses,
    ConfigurationIndexes indexes,
    RemovalHistory removals) {

  static ConfigurationContent empty() {
    return new ConfigurationContent(
        TreePMap.empty(),
        TreePMap.empty(),
        TreePMap.empty(),
        TreePMap.empty(),
        TreePMap.empty(),
        ConfigurationIndexes.empty(),
        RemovalHistory.empty());
  }

  static ConfigurationContent of(ConfigurationSnapshot snapshot) {
    ConfigurationContent content = empty();
    for (Entry<Customer> entry : snapshot.customers()) {
      content = content.plus(entry.value(), entry.changedAt());
    }
    for (Entry<Budget> entry : snapshot.budgets()) {
      content = content.plus(entry.value(), entry.changedAt());
    }
    for (Entry<TopUp> entry : snapshot.topUps()) {
      content = content.plus(entry.value(), entry.changedAt());
    }
    for (Entry<Upstream> entry : snapshot.upstreams()) {
      content = content.plus(entry.value(), entry.changedAt());
    }
    for (Entry<RequestClass> entry : snapshot.requestClasses()) {
      content = content.plus(entry.value(), entry.changedAt());
    }
    return content.withRemovals(RemovalHistory.of(snapshot.removals(), snapshot.forgottenUpTo()));
  }

  ConfigurationContent plus(ConfigurationEdit edit, long offset) {
    if (edit instanceof ConfigurationEdit.PutCustomer put) {
      return plus(put.customer(), offset);
    }
    if (edit instanceof ConfigurationEdit.PutBudget put) {
      return plus(put.budget(), offset);
    }
    if (edit instanceof ConfigurationEdit.AddTopUp add) {
      return plus(add.topUp(), offset);
    }
    if (edit instanceof ConfigurationEdit.PutUpstream put) {
      return plus(put.upstream(), offset);
    }
    if (edit instanceof ConfigurationEdit.PutRequestClass put) {
      return plus(put.requestClass(), offset);
    }
    return minus((ConfigurationEdit.Remove) edit, offset);
  }

  private ConfigurationContent plus(Customer customer, long offset) {
    Entry<Customer> old = customers.get(customer.id());
    ConfigurationIndexes indexesWithoutOld = old == null ? indexes : indexes.minus(old.value());
    return withCustomers(
        customers.plus(customer.id(), new Entry<>(customer, offset)),
        indexesWithoutOld.plus(customer));
  }

  private ConfigurationContent plus(Budget budget, long offset) {
    Entry<Budget> old = budgets.get(budget.id());
    ConfigurationIndexes indexesWithoutOld = old == null ? indexes : indexes.minus(old.value());
    return withBudgets(
        budgets.plus(budget.id(), new Entry<>(withSharedCustomerId(budget), offset)),
        indexesWithoutOld.plus(budget));
  }

  private ConfigurationContent plus(TopUp topUp, long offset) {
    if (topUps.containsKey(topUp.id())) {
      return this;
    }
    return new ConfigurationContent(
        customers,
        budgets,
        topUps.plus(topUp.id(), new Entry<>(withSharedBudgetId(topUp), offset)),
        upstreams,
        requestClasses,
        indexes.plus(withSharedBudgetId(topUp)),
        removals);
  }

  private ConfigurationContent plus(Upstream upstream, long offset) {
    Entry<Upstream> old = upstreams.get(upstream.id());
    ConfigurationIndexes indexesWithoutOld = old == null ? indexes : indexes.minus(old.value());
    return withUpstreams(
        upstreams.plus(upstream.id(), new Entry<>(upstream, offset)),
        indexesWithoutOld.plus(upstream));
  }

  private ConfigurationContent plus(RequestClass requestClass, long offset) {
    Entry<RequestClass> old = requestClasses.get(requestClass.id());
    ConfigurationIndexes indexesWithoutOld = old == null ? indexes : indexes.minus(old.value());
    return withRequestClasses(
        requestClasses.plus(requestClass.id(), new Entry<>(requestClass, offset)),
        indexesWithoutOld.plus(requestClass));
  }

  /** Returns an equal budget that reuses the identifier object of its customer to save memory. */
  private Budget withSharedCustomerId(Budget budget) {
    Entry<Customer> owner = budget.customer() == null ? null : customers.get(budget.customer());
    return owner == null ? budget : new Budget(budget.id(), owner.value().id());
  }

  /** Returns an equal top-up that reuses the identifier object of its budget to save memory. */
  private TopUp withSharedBudgetId(TopUp topUp) {
    Entry<Budget> budget = budgets.get(topUp.budget());
    return budget == null ? topUp : new TopUp(topUp.id(), budget.value().id(), topUp.tokens());
  }

  private ConfigurationContent minus(ConfigurationEdit.Remove remove, long offset) {
    Entry<? extends ConfigurationEntry> entry = entry(remove.section(), remove.entryId());
    if (entry == null) {
      return this;
    }
    ConfigurationContent remaining = minus(entry.value());
    return remaining.withRemovals(
        removals.plus(new Removal(remove.section(), remove.entryId(), offset)));
  }

  private ConfigurationContent minus(ConfigurationEntry value) {
    if (value instanceof Customer customer) {
      return withCustomers(customers.minus(customer.id()), indexes.minus(customer));
    }
    if (value instanceof Budget budget) {
      return withBudgets(budgets.minus(budget.id()), indexes.minus(budget));
    }
    if (value instanceof Upstream upstream) {
      return withUpstreams(upstreams.minus(upstream.id()), indexes.minus(upstream));
    }
    if (value instanceof RequestClass requestClass) {
      return withRequestClasses(
          requestClasses.minus(requestClass.id()), indexes.minus(requestClass));
    }
    return this;
  }

  /** Returns the entry with the given identifier, or null if there is none. */
  Entry<? extends ConfigurationEntry> entry(ConfigurationSection section, String entryId) {
    if (!Identifiers.isWellFormed(entryId)) {
      return null;
    }
    return switch (section) {
      case CUSTOMERS -> customers.get(CustomerId.of(entryId));
      case BUDGETS -> budgets.get(BudgetId.of(entryId));
      case TOP_UPS -> topUps.get(TopUpId.of(entryId));
      case UPSTREAMS -> upstreams.get(UpstreamId.of(entryId));
      case REQUEST_CLASSES -> requestClasses.get(RequestClassId.of(entryId));
    };
  }

  ConfigurationContent withRemovals(RemovalHistory newRemovals) {
    return new ConfigurationContent(
        customers, budgets, topUps, upstreams, requestClasses, indexes, newRemovals);
  }

  private ConfigurationContent withCustomers(
      TreePMap<CustomerId, Entry<Customer>> newCustomers, ConfigurationIndexes newIndexes) {
    return new ConfigurationContent(
        newCustomers, budgets, topUps, upstreams, requestClasses, newIndexes, removals);
  }

  private ConfigurationContent withBudgets(
      TreePMap<BudgetId, Entry<Budget>> newBudgets, ConfigurationIndexes newIndexes) {
    return new ConfigurationContent(
        customers, newBudgets, topUps, upstreams, requestClasses, newIndexes, removals);
  }

  private ConfigurationContent withUpstreams(
      TreePMap<UpstreamId, Entry<Upstream>> newUpstreams, ConfigurationIndexes newIndexes) {
    return new ConfigurationContent(
        customers, budgets, topUps, newUpstreams, requestClasses, newIndexes, removals);
  }

  private ConfigurationContent withRequestClasses(
      TreePMap<RequestClassId, Entry<RequestClass>> newClasses, ConfigurationIndexes newIndexes) {
    return new ConfigurationContent(
        customers, budgets, topUps, upstreams, newClasses, newIndexes, removals);
  }
}
