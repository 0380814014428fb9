package io.snipeloom.state;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The configuration document as of one log offset.
 *
 * <p>Immutable and thread-safe. A change yields a new document that shares the untouched sections.
 * Start from {@link #empty()} and apply changes in log order with {@link #with}.
 */
public final class ConfigurationDocument {
  private static final ConfigurationDocument EMPTY =
      new ConfigurationDocument(-1, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

  private final long offset;
  private final Map<CustomerId, Entry<Customer>> customers;
  private final Map<BudgetId, Entry<Budget>> budgets;
  private final Map<TopUpId, Entry<TopUp>> topUps;
  private final Map<UpstreamId, Entry<Upstream>> upstreams;
  private final Map<RequestClassId, Entry<RequestClass>> requestClasses;

  private ConfigurationDocument(
      long offset,
      Map<CustomerId, Entry<Customer>> customers,
      Map<BudgetId, Entry<Budget>> budgets,
      Map<TopUpId, Entry<TopUp>> topUps,
      Map<UpstreamId, Entry<Upstream>> upstreams,
      Map<RequestClassId, Entry<RequestClass>> requestClasses) {
    this.offset = offset;
    this.customers = customers;
    this.budgets = budgets;
    this.topUps = topUps;
    this.upstreams = upstreams;
    this.requestClasses = requestClasses;
  }

  /**
   * Returns the document without entries, which precedes every change.
   *
   * @return the empty document, at offset -1
   */
  public static ConfigurationDocument empty() {
    return EMPTY;
  }

  /**
   * Returns the document with these entries, as read from a snapshot.
   *
   * @param offset the offset of the last accepted change
   * @param customers the customers
   * @param budgets the budgets
   * @param topUps the top-ups
   * @param upstreams the upstreams
   * @param requestClasses the request classes
   * @return the document
   */
  static ConfigurationDocument restore(
      long offset,
      Collection<Entry<Customer>> customers,
      Collection<Entry<Budget>> budgets,
      Collection<Entry<TopUp>> topUps,
      Collection<Entry<Upstream>> upstreams,
      Collection<Entry<RequestClass>> requestClasses) {
    return new ConfigurationDocument(
        offset,
        byId(customers, Customer::id),
        byId(budgets, Budget::id),
        byId(topUps, TopUp::id),
        byId(upstreams, Upstream::id),
        byId(requestClasses, RequestClass::id));
  }

  private static <K, T> Map<K, Entry<T>> byId(Collection<Entry<T>> entries, Function<T, K> idOf) {
    Map<K, Entry<T>> section = new TreeMap<>();
    entries.forEach(entry -> section.put(idOf.apply(entry.value()), entry));
    return section;
  }

  /**
   * Returns the document after a change.
   *
   * @param changeOffset the log offset of the change
   * @param change the change
   * @return the new document
   * @throws SnipeloomException with {@link ErrorCode#CONFIGURATION_CONFLICT} if an entry that the
   *     change touches has changed since its base, or {@link ErrorCode#INVALID_CONFIGURATION} if
   *     the outcome would break a rule
   */
  public ConfigurationDocument with(long changeOffset, ConfigurationChange change) {
    Builder builder = new Builder(this, changeOffset);
    change.edits().forEach(edit -> builder.apply(change.baseOffset(), edit));
    return builder.build();
  }

  /**
   * Returns the log offset of the last accepted change.
   *
   * @return the offset; -1 before the first change
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns a customer.
   *
   * @param id the identifier
   * @return the customer; empty if there is none
   */
  public Optional<Customer> customer(CustomerId id) {
    return Optional.ofNullable(customers.get(id)).map(Entry::value);
  }

  /**
   * Returns a budget.
   *
   * @param id the identifier
   * @return the budget; empty if there is none
   */
  public Optional<Budget> budget(BudgetId id) {
    return Optional.ofNullable(budgets.get(id)).map(Entry::value);
  }

  /**
   * Returns an upstream.
   *
   * @param id the identifier
   * @return the upstream; empty if there is none
   */
  public Optional<Upstream> upstream(UpstreamId id) {
    return Optional.ofNullable(upstreams.get(id)).map(Entry::value);
  }

  /**
   * Returns a request class.
   *
   * @param id the identifier
   * @return the request class; empty if there is none
   */
  public Optional<RequestClass> requestClass(RequestClassId id) {
    return Optional.ofNullable(requestClasses.get(id)).map(Entry::value);
  }

  /**
   * Returns the customers in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<Customer>> customers() {
    return customers.values();
  }

  /**
   * Returns the budgets in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<Budget>> budgets() {
    return budgets.values();
  }

  /**
   * Returns the top-ups in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<TopUp>> topUps() {
    return topUps.values();
  }

  /**
   * Returns the upstreams in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<Upstream>> upstreams() {
    return upstreams.values();
  }

  /**
   * Returns the request classes in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<RequestClass>> requestClasses() {
    return requestClasses.values();
  }

  /** Collects the edits of one change. */
  private static final class Builder {
    private final long offset;
    private final Map<CustomerId, Entry<Customer>> customers;
    private final Map<BudgetId, Entry<Budget>> budgets;
    private final Map<TopUpId, Entry<TopUp>> topUps;
    private final Map<UpstreamId, Entry<Upstream>> upstreams;
    private final Map<RequestClassId, Entry<RequestClass>> requestClasses;

    private Builder(ConfigurationDocument base, long offset) {
      this.offset = offset;
      this.customers = new TreeMap<>(base.customers);
      this.budgets = new TreeMap<>(base.budgets);
      this.topUps = new TreeMap<>(base.topUps);
      this.upstreams = new TreeMap<>(base.upstreams);
      this.requestClasses = new TreeMap<>(base.requestClasses);
    }

    private void apply(long baseOffset, ConfigurationEdit edit) {
      if (edit instanceof ConfigurationEdit.PutCustomer put) {
        put(customers, put.customer().id(), put.customer(), baseOffset, edit);
      } else if (edit instanceof ConfigurationEdit.PutBudget put) {
        put(budgets, put.budget().id(), put.budget(), baseOffset, edit);
      } else if (edit instanceof ConfigurationEdit.AddTopUp add) {
        put(topUps, add.topUp().id(), add.topUp(), -1, edit);
      } else if (edit instanceof ConfigurationEdit.PutUpstream put) {
        put(upstreams, put.upstream().id(), put.upstream(), baseOffset, edit);
      } else if (edit instanceof ConfigurationEdit.PutRequestClass put) {
        put(requestClasses, put.requestClass().id(), put.requestClass(), baseOffset, edit);
      } else if (edit instanceof ConfigurationEdit.Remove remove) {
        remove(baseOffset, remove);
      }
    }

    private <K, T> void put(
        Map<K, Entry<T>> section, K id, T value, long baseOffset, ConfigurationEdit edit) {
      checkUnchanged(section.get(id), baseOffset, edit);
      section.put(id, new Entry<>(value, offset));
    }

    private void remove(long baseOffset, ConfigurationEdit.Remove remove) {
      String id = remove.entryId();
      switch (remove.section()) {
        case CUSTOMERS -> removeFrom(customers, CustomerId.of(id), baseOffset, remove);
        case BUDGETS -> removeFrom(budgets, BudgetId.of(id), baseOffset, remove);
        case UPSTREAMS -> removeFrom(upstreams, UpstreamId.of(id), baseOffset, remove);
        case REQUEST_CLASSES ->
            removeFrom(requestClasses, RequestClassId.of(id), baseOffset, remove);
        case TOP_UPS ->
            throw SnipeloomException.of(
                ErrorCode.INVALID_CONFIGURATION, "/topUps/" + id + ": a top-up stays for good");
        default -> throw new IllegalStateException("unknown section " + remove.section());
      }
    }

    private <K, T> void removeFrom(
        Map<K, Entry<T>> section, K id, long baseOffset, ConfigurationEdit edit) {
      checkUnchanged(section.get(id), baseOffset, edit);
      section.remove(id);
    }

    private static void checkUnchanged(Entry<?> entry, long baseOffset, ConfigurationEdit edit) {
      if (entry != null && entry.changedAt() > baseOffset) {
        throw SnipeloomException.of(
            ErrorCode.CONFIGURATION_CONFLICT,
            "/%s/%s was changed at offset %d, after base offset %d"
                .formatted(edit.section().text(), edit.entryId(), entry.changedAt(), baseOffset));
      }
    }

    private ConfigurationDocument build() {
      return new ConfigurationDocument(
          offset, customers, budgets, topUps, upstreams, requestClasses);
    }
  }
}
