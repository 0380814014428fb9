package io.snipeloom.state;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import org.pcollections.TreePMap;

/**
 * The configuration document as of one log offset.
 *
 * <p>Immutable and thread-safe. A change yields a new document that shares all but a logarithmic
 * number of nodes with the old one, and costs time in proportion to its edits. Start from {@link
 * #empty()} or {@link #of} and apply changes in log order with {@link #with}.
 */
public final class ConfigurationDocument {
  private static final ConfigurationDocument EMPTY =
      new ConfigurationDocument(-1, ConfigurationContent.empty());

  private final long offset;
  private final ConfigurationContent content;

  private ConfigurationDocument(long offset, ConfigurationContent content) {
    this.offset = offset;
    this.content = content;
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
   * Returns the document that a snapshot holds.
   *
   * @param snapshot the snapshot
   * @return the document
   */
  public static ConfigurationDocument of(ConfigurationSnapshot snapshot) {
    return new ConfigurationDocument(snapshot.offset(), ConfigurationContent.of(snapshot));
  }

  /**
   * Returns the document after a change.
   *
   * @param changeOffset the log offset of the change
   * @param change the change
   * @return the new document
   * @throws SnipeloomException with {@link ErrorCode#CONFIGURATION_CONFLICT} if an entry that the
   *     change touches has changed since its base, or {@link ErrorCode#INVALID_CONFIGURATION} if
   *     the outcome would break a rule; its violations name every wrong place
   */
  public ConfigurationDocument with(long changeOffset, ConfigurationChange change) {
    return new ConfigurationDocument(
        changeOffset, new ConfigurationTransition(this, changeOffset, change).run());
  }

  /**
   * Returns the plain form of the document.
   *
   * @return the snapshot
   */
  public ConfigurationSnapshot toSnapshot() {
    return new ConfigurationSnapshot(
        offset,
        List.copyOf(customers()),
        List.copyOf(budgets()),
        List.copyOf(topUps()),
        List.copyOf(upstreams()),
        List.copyOf(requestClasses()),
        content.removals().removals(),
        content.removals().forgottenUpTo());
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
    return Optional.ofNullable(content.customers().get(id)).map(Entry::value);
  }

  /**
   * Returns the customer that holds an API key.
   *
   * @param keyHash the SHA-256 of the key, in lower-case hexadecimal
   * @return the customer; empty if none holds the key
   */
  public Optional<Customer> customerByKeyHash(String keyHash) {
    return content.indexes().keyHolders().get(keyHash).stream().findFirst().flatMap(this::customer);
  }

  /**
   * Returns a budget.
   *
   * @param id the identifier
   * @return the budget; empty if there is none
   */
  public Optional<Budget> budget(BudgetId id) {
    return Optional.ofNullable(content.budgets().get(id)).map(Entry::value);
  }

  /**
   * Returns the sum of the top-ups of a budget.
   *
   * @param id the budget
   * @return the tokens; 0 if there is no top-up
   */
  public long toppedUpTokens(BudgetId id) {
    return content.indexes().toppedUpTokens(id);
  }

  /**
   * Returns a top-up.
   *
   * @param id the identifier
   * @return the top-up; empty if there is none
   */
  public Optional<TopUp> topUp(TopUpId id) {
    return Optional.ofNullable(content.topUps().get(id)).map(Entry::value);
  }

  /**
   * Returns an upstream.
   *
   * @param id the identifier
   * @return the upstream; empty if there is none
   */
  public Optional<Upstream> upstream(UpstreamId id) {
    return Optional.ofNullable(content.upstreams().get(id)).map(Entry::value);
  }

  /**
   * Returns the upstream that serves a model.
   *
   * @param model the model
   * @return the upstream; empty if none serves the model
   */
  public Optional<Upstream> upstreamByModel(ModelId model) {
    return content.indexes().modelServers().get(model).stream().findFirst().flatMap(this::upstream);
  }

  /**
   * Returns a request class.
   *
   * @param id the identifier
   * @return the request class; empty if there is none
   */
  public Optional<RequestClass> requestClass(RequestClassId id) {
    return Optional.ofNullable(content.requestClasses().get(id)).map(Entry::value);
  }

  /**
   * Returns the customers in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<Customer>> customers() {
    return content.customers().values();
  }

  /**
   * Returns the budgets in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<Budget>> budgets() {
    return content.budgets().values();
  }

  /**
   * Returns the top-ups in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<TopUp>> topUps() {
    return content.topUps().values();
  }

  /**
   * Returns the upstreams in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<Upstream>> upstreams() {
    return content.upstreams().values();
  }

  /**
   * Returns the request classes in the order of their identifiers.
   *
   * @return the entries, unmodifiable
   */
  public Collection<Entry<RequestClass>> requestClasses() {
    return content.requestClasses().values();
  }

  /**
   * Returns the entry with this identifier.
   *
   * @param section the section
   * @param entryId the text form of the identifier
   * @return the entry; empty if there is none
   */
  public Optional<Entry<? extends ConfigurationEntry>> entry(
      ConfigurationSection section, String entryId) {
    return Optional.ofNullable(content.entry(section, entryId));
  }

  /**
   * Returns a run of entries in the order of their identifiers.
   *
   * @param section the section
   * @param after the identifier after which the run starts; empty for the start of the section
   * @param limit the most entries
   * @return the entries
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the identifier is
   *     malformed
   */
  public List<? extends Entry<? extends ConfigurationEntry>> page(
      ConfigurationSection section, String after, int limit) {
    boolean fromStart = after.isEmpty();
    return switch (section) {
      case CUSTOMERS -> page(content.customers(), fromStart ? null : CustomerId.of(after), limit);
      case BUDGETS -> page(content.budgets(), fromStart ? null : BudgetId.of(after), limit);
      case TOP_UPS -> page(content.topUps(), fromStart ? null : TopUpId.of(after), limit);
      case UPSTREAMS -> page(content.upstreams(), fromStart ? null : UpstreamId.of(after), limit);
      case REQUEST_CLASSES ->
          page(content.requestClasses(), fromStart ? null : RequestClassId.of(after), limit);
    };
  }

  private static <K extends Comparable<K>, T> List<Entry<T>> page(
      TreePMap<K, Entry<T>> section, K after, int limit) {
    SortedMap<K, Entry<T>> rest = after == null ? section : section.tailMap(after, false);
    return rest.values().stream().limit(limit).toList();
  }

  ConfigurationContent content() {
    return content;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ConfigurationDocument that
        && offset == that.offset
        && content.customers().equals(that.content.customers())
        && content.budgets().equals(that.content.budgets())
        && content.topUps().equals(that.content.topUps())
        && content.upstreams().equals(that.content.upstreams())
        && content.requestClasses().equals(that.content.requestClasses());
  }

  @Override
  public int hashCode() {
    return Objects.hash(
        offset,
        content.customers().size(),
        content.budgets().size(),
        content.topUps().size(),
        content.upstreams().size(),
        content.requestClasses().size());
  }
}
