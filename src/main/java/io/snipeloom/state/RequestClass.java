package io.snipeloom.state;

/**
 * A request class, which defines how its requests are routed, queued, limited and priced.
 *
 * @param urgency how the requests of the class are queued, shed and retried
 * @param upstream the upstream that serves the class
 * @param route the plain HTTP calls that belong to the class; null for model traffic
 * @param maxOutputTokens the maximum number of output tokens of one answer; 0 for plain HTTP calls
 * @param fixedTokens the price of one plain HTTP call in tokens; 0 for model traffic
 * @param deadlineMillis the time within which a request must be answered, in milliseconds
 * @param queueLimit the maximum number of requests of the class that wait in the queue of one
 *     router
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

  /** Checks that the identifier is present. */
  public RequestClass {
    Entry.requirePresent("id", id);
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
