package io.snipeloom.forwarding;

import io.snipeloom.cost.RequestKind;
import io.snipeloom.crashes.RequestTrait;
import io.snipeloom.crashes.RequestTraits;
import io.snipeloom.routing.CustomerConfiguration;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.ForwardMetadata;
import io.snipeloom.routing.Homes;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.RequestMetadata;
import io.snipeloom.routing.Route;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request whose route, customer and service are known. Immutable.
 *
 * @param configuration the configuration by which the request is processed
 * @param route the route
 * @param service the service that runs the request
 * @param customer the customer, empty if the request needs no API key
 * @param metadata the metadata in the headers of the request
 * @param traits what identifies the request when replicas crash
 * @param deadlineNanos until when the caller waits, as {@link System#nanoTime}
 */
record RoutedRequest(
    FleetConfiguration configuration,
    Route route,
    String service,
    Optional<CustomerConfiguration> customer,
    RequestMetadata metadata,
    RequestTraits traits,
    long deadlineNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_PRIORITY = 9;

  /**
   * Finds the customer and the service of a request.
   *
   * @param configuration the configuration in force
   * @param route the route of the request
   * @param metadata the metadata in its headers
   * @param request the request
   * @param draw a random number from 0 to 1, by which a service of several is chosen
   */
  static RoutedRequest of(
      FleetConfiguration configuration,
      Route route,
      RequestMetadata metadata,
      CallerRequest request,
      double draw) {
    Optional<CustomerConfiguration> customer =
        needsCustomer(configuration, route)
            ? metadata.apiKey().flatMap(configuration::customerOf)
            : Optional.empty();
    long limitMillis =
        Math.min(route.timeoutMillis(), metadata.timeoutMillis().orElse(Long.MAX_VALUE));
    return new RoutedRequest(
        configuration,
        route,
        route.serviceFor(draw),
        customer,
        metadata,
        traitsOf(customer, metadata, request),
        request.arrivedNanos() + limitMillis * NANOS_PER_MILLI);
  }

  private static boolean needsCustomer(FleetConfiguration configuration, Route route) {
    return configuration.requiresApiKeys() && !route.anonymous();
  }

  private static RequestTraits traitsOf(
      Optional<CustomerConfiguration> customer, RequestMetadata metadata, CallerRequest request) {
    RequestTrait identity =
        RequestTrait.ofRequest(
            customer.map(known -> known.id().value()).orElse(""),
            request.method() + " " + request.uri(),
            request.body().nioBuffer());
    List<RequestTrait> parts =
        metadata.prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
            .map(PromptPart::id)
            .filter(id -> !id.isEmpty())
            .map(RequestTrait::ofPart)
            .distinct()
            .toList();
    return new RequestTraits(identity, parts);
  }

  /** Returns the same request for another service of its route. */
  RoutedRequest withService(String other) {
    return new RoutedRequest(
        configuration, route, other, customer, metadata, traits, deadlineNanos);
  }

  /** Returns whether the request needs an API key and states none that is known. */
  boolean isUnauthenticated() {
    return needsCustomer(configuration, route) && customer.isEmpty();
  }

  /**
   * Returns the regions in which the request may be processed, by the configuration under which it
   * arrived and by the one that is in force now.
   *
   * @param current the configuration in force
   */
  Homes homes(FleetConfiguration current) {
    Homes arrived =
        route.homes().and(customer.map(CustomerConfiguration::homes).orElse(Homes.EVERYWHERE));
    return current.version() == configuration.version()
        ? arrived
        : arrived.and(current.homesOf(route.name(), customer.map(CustomerConfiguration::id)));
  }

  /** Returns the ID of the customer as text, empty if there is none. */
  String customerText() {
    return customer.map(found -> found.id().value()).orElse("");
  }

  /** Returns whether the request consumes prepaid tokens of its customer. */
  boolean isPrepaid() {
    return metadata.prompt().isPresent()
        && customer
            .flatMap(found -> found.prepaidTokens().stream().boxed().findFirst())
            .isPresent();
  }

  /** Returns whether the caller goes on with a stream of which it has received events. */
  boolean resumesStream() {
    return route.isResumableStream() && metadata.lastEventId().isPresent();
  }

  /** Returns what is known of a model request before it runs; empty for other requests. */
  Optional<RequestKind> kind() {
    return metadata
        .prompt()
        .map(
            prompt ->
                new RequestKind(
                    route.name(),
                    customerText(),
                    prompt.inputTokens(),
                    prompt.maxOutputTokens(),
                    metadata.outputHint()));
  }

  /** Returns the parts of the prompt that other requests may share. */
  List<PromptPart> sharedParts() {
    return metadata.prompt().map(Prompt::sharedParts).orElse(List.of());
  }

  /** Returns the priority, 0 being the highest; the customer's goes before the route's. */
  int priority() {
    OptionalInt customerPriority =
        customer.map(CustomerConfiguration::priority).orElse(OptionalInt.empty());
    return Math.min(MAX_PRIORITY, customerPriority.orElse(route.priority()));
  }

  /**
   * Returns the time until the deadline, in milliseconds.
   *
   * @param nowNanos the current time
   */
  long remainingMillis(long nowNanos) {
    return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns the metadata that is added to the request for a replica.
   *
   * @param replica the replica
   * @param lastEventId the last event received from an earlier attempt
   * @param nowNanos the current time
   */
  ForwardMetadata forwardMetadata(ReplicaId replica, Optional<String> lastEventId, long nowNanos) {
    return new ForwardMetadata(
        replica,
        Math.max(1, remainingMillis(nowNanos)),
        customer.map(CustomerConfiguration::name),
        priority(),
        lastEventId);
  }
}
