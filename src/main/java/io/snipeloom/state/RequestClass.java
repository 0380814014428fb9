package io.snipeloom.state;

/**
 * A request class: how its requests are routed, queued, limited and priced.
 *
 * @param id the identifier
 * @param urgency how its requests are queued, shed and retried
 * @param upstream the upstream that serves the class
 * @param route the plain HTTP calls of the class; null for model traffic
 * @param maxOutputTokens the most tokens that one answer may have; 0 for plain calls
 * @param fixedTokens the price of one plain call in tokens; 0 for model traffic
 * @param deadlineMillis the time within which a request must be answered, in milliseconds
 * @param queueLimit the most requests that may wait at one router
 */
public record RequestClass(
    RequestClassId id,
    Urgency urgency,
    UpstreamId upstream,
    Route route,
    long maxOutputTokens,
    long fixedTokens,
    long deadlineMillis,
    int queueLimit)
    implements ConfigurationEntry {

  /** Checks that the identifier is there. */
  public RequestClass {
    Entry.required("id", id);
  }

  @Override
  public ConfigurationSection section() {
    return ConfigurationSection.REQUEST_CLASSES;
  }

  @Override
  public String entryId() {
    return id.value();
  }
}
