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
 * <p>Immutable and thread-safe. Applying a change returns a new document, which shares all but a
 * logarithmic number of nodes with the old one; the time needed is proportional to the number of
 * edits. Start from {@link #empty()} or {@link #of} and apply the changes in log order with {@link
 * #with}.
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
   * Returns the document before the first change, which has no entries.
   *
   * @return the empty document, at offset -1
   */
  public static ConfigurationDocument empty() {
    return EMPTY;
  }

  /** Restores a document from its snapshot. */
  public static ConfigurationDocument of(ConfigurationSnapshot snapshot) {
    return new ConfigurationDocument(snapshot.offset(), ConfigurationContent.of(snapshot));
  }

  /**
   * Returns the document that results from applying a change.
   *
   * @param changeOffset the log offset of the change
   * @throws SnipeloomException with {@link ErrorCode#CONFIGURATION_CONFLICT} if an entry that the
   *     change edits has changed since the base of the change, with {@link
   *     ErrorCode#INVALID_CONFIGURATION} if the resulting document would break a rule, or with
   *     {@link ErrorCode#INVARIANT_VIOLATED} if the offset is not greater than that of this
   *     document; for the first two, the violations list every reason
   */
  public ConfigurationDocument with(long changeOffset, ConfigurationChange change) {
    return new ConfigurationDocument(
        changeOffset, new ConfigurationTransition(this, changeOffset, change).run());
  }

  /** Returns a snapshot from which {@link #of} restores the document. */
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

  /** Returns the customer with the given identifier, if there is one. */
  public Optional<Customer> customer(CustomerId id) {
    return Optional.ofNullable(content.customers().get(id)).map(Entry::value);
  }

  /**
   * Returns the customer to which an API key belongs, if there is one.
   *
   * @param keyHash the SHA-256 hash of the key, in lower-case hexadecimal
   */
  public Optional<Customer> customerByKeyHash(String keyHash) {
    return content.indexes().customersByKeyHash().get(keyHash).stream()
        .findFirst()
        .flatMap(this::customer);
  }

  /** Returns the budget with the given identifier, if there is one. */
  public Optional<Budget> budget(BudgetId id) {
    return Optional.ofNullable(content.budgets().get(id)).map(Entry::value);
  }

  /**
   * Returns the sum of the top-ups of a budget in tokens.
   *
   * @return the sum; 0 if the budget has no top-ups or does not exist
   */
  public long toppedUpTokens(BudgetId id) {
    return content.indexes().toppedUpTokens(id);
  }

  /** Returns the top-up with the given identifier, if there is one. */
  public Optional<TopUp> topUp(TopUpId id) {
    return Optional.ofNullable(content.topUps().get(id)).map(Entry::value);
  }

  /** Returns the upstream with the given identifier, if there is one. */
  public Optional<Upstream> upstream(UpstreamId id) {
    return Optional.ofNullable(content.upstreams().get(id)).map(Entry::value);
  }

  /** Returns the upstream that serves a model, if there is one. */
  public Optional<Upstream> upstreamByModel(ModelId model) {
    return content.indexes().upstreamsByModel().get(model).stream()
        .findFirst()
        .flatMap(this::upstream);
  }

  /** Returns the request class with the given identifier, if there is one. */
  public Optional<RequestClass> requestClass(RequestClassId id) {
    return Optional.ofNullable(content.requestClasses().get(id)).map(Entry::value);
  }

  /** Returns the customers in the order of their identifiers, unmodifiable. */
  public Collection<Entry<Customer>> customers() {
    return content.customers().values();
  }

  /** Returns the budgets in the order of their identifiers, unmodifiable. */
  public Collection<Entry<Budget>> budgets() {
    return content.budgets().values();
  }

  /** Returns the top-ups in the order of their identifiers, unmodifiable. */
  public Collection<Entry<TopUp>> topUps() {
    return content.topUps().values();
  }

  /** Returns the upstreams in the order of their identifiers, unmodifiable. */
  public Collection<Entry<Upstream>> upstreams() {
    return content.upstreams().values();
  }

  /** Returns the request classes in the order of their identifiers, unmodifiable. */
  public Collection<Entry<RequestClass>> requestClasses() {
    return content.requestClasses().values();
  }

  /**
   * Returns the entry with the given identifier, if there is one.
   *
   * @param entryId the text form of the identifier; a malformed one matches no entry
   */
  public Optional<Entry<? extends ConfigurationEntry>> entry(
      ConfigurationSection section, String entryId) {
    return Optional.ofNullable(content.entry(section, entryId));
  }

  /**
   * Returns a page of entries of a section in the order of their identifiers.
   *
   * @param after the identifier that the first returned entry must follow; empty to start at the
   *     first entry
   * @param limit the maximum number of entries
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
    SortedMap<K, Entry<T>> remaining = after == null ? section : section.tailMap(after, false);
    return remaining.values().stream().limit(limit).toList();
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
