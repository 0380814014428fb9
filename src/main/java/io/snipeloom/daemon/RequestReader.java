package io.snipeloom.daemon;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.snipeloom.coordination.CallerRequest;
import io.snipeloom.coordination.PrefixChain;
import io.snipeloom.protocol.Header;
import io.snipeloom.protocol.HttpCall;
import io.snipeloom.state.Budget;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.Customer;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.Entry;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamKind;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Converts HTTP requests of callers into validated requests according to the current configuration.
 *
 * <p>Thread-safe.
 */
final class RequestReader {
  static final String KEY_HEADER = "Idempotency-Key";
  static final String CLASS_HEADER = "Snipeloom-Class";
  static final String BUDGET_HEADER = "Snipeloom-Budget";
  static final String TRACE_HEADER = "traceparent";

  private static final Duration MAX_KEY_CLOCK_SKEW = Duration.ofMinutes(5);
  private static final long MIN_CALL_TOKENS = 0;
  private static final List<String> CHAT_FORWARDED_HEADERS = List.of(HttpHeaders.CONTENT_TYPE);
  private static final List<String> FORWARDED_HEADERS =
      List.of(
          HttpHeaders.CONTENT_TYPE, HttpHeaders.ACCEPT, KEY_HEADER, HttpHeaders.ACCEPT_LANGUAGE);

  private final Supplier<ConfigurationDocument> configuration;
  private final InstantSource clock;
  private final LongSupplier nanoClock;

  RequestReader(
      Supplier<ConfigurationDocument> configuration, InstantSource clock, LongSupplier nanoClock) {
    this.configuration = configuration;
    this.clock = clock;
    this.nanoClock = nanoClock;
  }

  /**
   * Returns the customer whose API key a request carries.
   *
   * @throws SnipeloomException with {@link ErrorCode#UNAUTHENTICATED} if there is no such customer
   */
  Customer customer(HttpRequest<?> http) {
    return CallerAuthenticator.authenticate(
        configuration.get(), http.getHeaders().get(HttpHeaders.AUTHORIZATION));
  }

  /**
   * Reads a chat completions request.
   *
   * @param chat the parsed body
   * @param body the body as received
   * @throws SnipeloomException if the caller is unknown or the request is invalid
   */
  CallerRequest readChat(HttpRequest<?> http, ChatRequest chat, byte[] body) {
    ConfigurationDocument document = configuration.get();
    Customer customer = customer(http);
    RequestClass requestClass = chatClass(document, http, chat.model());
    long output = chat.maxOutputTokens(requestClass.maxOutputTokens());
    return request(
        http,
        document,
        customer,
        requestClass,
        chat.model(),
        new HttpCall(
            "POST", "/v1/chat/completions", forwardedHeaders(http, CHAT_FORWARDED_HEADERS), body),
        Math.addExact(chat.promptUpperBoundTokens(), output),
        output,
        PrefixChain.of(chat.promptBytes()));
  }

  /**
   * Reads a request to a plain service.
   *
   * @throws SnipeloomException if the caller is unknown or the request is invalid
   */
  CallerRequest readPlain(HttpRequest<?> http, byte[] body) {
    ConfigurationDocument document = configuration.get();
    Customer customer = customer(http);
    RequestClass requestClass = plainClass(document, http);
    return request(
        http,
        document,
        customer,
        requestClass,
        null,
        new HttpCall(
            http.getMethodName(),
            http.getUri().toString(),
            forwardedHeaders(http, FORWARDED_HEADERS),
            body),
        Math.max(MIN_CALL_TOKENS, requestClass.fixedTokens()),
        0,
        PrefixChain.empty());
  }

  private CallerRequest request(
      HttpRequest<?> http,
      ConfigurationDocument document,
      Customer customer,
      RequestClass requestClass,
      ModelId model,
      HttpCall call,
      long upperBound,
      long maxOutput,
      PrefixChain prefix) {
    String token = http.getHeaders().get(KEY_HEADER);
    RequestKey key = key(customer.id(), requestClass, token);
    long issuedAt = key.issuedAtMillis().orElse(clock.millis());
    return new CallerRequest(
        key,
        issuedAt,
        token != null,
        budget(document, customer, http),
        requestClass,
        model,
        call,
        upperBound,
        maxOutput,
        prefix,
        fingerprint(customer, call),
        http.getHeaders().get(TRACE_HEADER, String.class).orElse(""),
        nanoClock.getAsLong() + Duration.ofMillis(requestClass.deadlineMillis()).toNanos());
  }

  private RequestKey key(CustomerId customer, RequestClass requestClass, String token) {
    if (token == null) {
      if (!requestClass.urgency().isRepeatable()) {
        throw SnipeloomException.of(
                ErrorCode.KEY_REQUIRED,
                "class " + requestClass.id() + " requires an Idempotency-Key: a version 7 UUID")
            .withOrigin("parse", "");
      }
      return RequestKey.generate(customer, clock.millis(), UUID.randomUUID());
    }
    RequestKey key = RequestKey.of(customer, token);
    boolean isTimeBased = key.issuedAtMillis().isPresent();
    if (!isTimeBased && !requestClass.urgency().isRepeatable()) {
      throw SnipeloomException.of(
              ErrorCode.KEY_REQUIRED,
              "the Idempotency-Key of class " + requestClass.id() + " must be a version 7 UUID")
          .withOrigin("parse", "");
    }
    if (isTimeBased
        && key.issuedAtMillis().getAsLong() > clock.millis() + MAX_KEY_CLOCK_SKEW.toMillis()) {
      throw SnipeloomException.of(
              ErrorCode.INVALID_REQUEST, "the Idempotency-Key was issued in the future")
          .withOrigin("parse", "");
    }
    return key;
  }

  private static BudgetId budget(
      ConfigurationDocument document, Customer customer, HttpRequest<?> http) {
    String named = http.getHeaders().get(BUDGET_HEADER);
    BudgetId id = named == null ? customer.defaultBudget() : BudgetId.of(named);
    if (id == null) {
      throw SnipeloomException.of(
              ErrorCode.INVALID_REQUEST,
              "there is no default budget; name a budget in the header " + BUDGET_HEADER)
          .withOrigin("parse", "");
    }
    Optional<Budget> budget = document.budget(id);
    if (budget.filter(found -> found.customer().equals(customer.id())).isEmpty()) {
      throw SnipeloomException.of(ErrorCode.NOT_FOUND, "there is no budget " + id)
          .withOrigin("parse", "");
    }
    return id;
  }

  private static RequestClass chatClass(
      ConfigurationDocument document, HttpRequest<?> http, ModelId model) {
    String named = http.getHeaders().get(CLASS_HEADER);
    return document.requestClasses().stream()
        .map(Entry::value)
        .filter(candidate -> candidate.route() == null)
        .filter(candidate -> named == null || candidate.id().value().equals(named))
        .filter(candidate -> serves(document, candidate, model))
        .min(
            Comparator.comparing((RequestClass candidate) -> !candidate.urgency().isRepeatable())
                .thenComparing(candidate -> candidate.urgency().rank())
                .thenComparing(RequestClass::id))
        .orElseThrow(() -> modelNotFound(named, model));
  }

  private static SnipeloomException modelNotFound(String named, ModelId model) {
    String message =
        named == null
            ? "there is no model " + model
            : "class " + named + " does not serve model " + model;
    return SnipeloomException.of(ErrorCode.NOT_FOUND, message).withOrigin("parse", "");
  }

  private static boolean serves(
      ConfigurationDocument document, RequestClass candidate, ModelId model) {
    return document
        .upstream(candidate.upstream())
        .filter(upstream -> upstream.kind() == UpstreamKind.MODEL_ENGINE)
        .filter(upstream -> upstream.models().contains(model))
        .isPresent();
  }

  private static RequestClass plainClass(ConfigurationDocument document, HttpRequest<?> http) {
    String path = http.getPath();
    return document.requestClasses().stream()
        .map(Entry::value)
        .filter(candidate -> candidate.route() != null)
        .filter(candidate -> candidate.route().method().equals(http.getMethodName()))
        .filter(candidate -> isUnder(path, candidate.route().pathPrefix()))
        .max(Comparator.comparingInt(candidate -> candidate.route().pathPrefix().length()))
        .orElseThrow(
            () ->
                SnipeloomException.of(
                        ErrorCode.NOT_FOUND,
                        "there is no route for " + http.getMethodName() + " " + path)
                    .withOrigin("parse", ""));
  }

  private static boolean isUnder(String path, String prefix) {
    return path.startsWith(prefix)
        && (path.length() == prefix.length()
            || prefix.endsWith("/")
            || path.charAt(prefix.length()) == '/');
  }

  private static List<Header> forwardedHeaders(HttpRequest<?> http, List<String> names) {
    return names.stream()
        .filter(name -> http.getHeaders().contains(name))
        .map(name -> new Header(name, http.getHeaders().get(name)))
        .toList();
  }

  private static String fingerprint(Customer customer, HttpCall call) {
    byte[] head =
        (customer.id() + " " + call.method() + " " + call.path() + "\n")
            .getBytes(StandardCharsets.UTF_8);
    byte[] digested = new byte[head.length + call.body().length];
    System.arraycopy(head, 0, digested, 0, head.length);
    System.arraycopy(call.body(), 0, digested, head.length, call.body().length);
    return CallerAuthenticator.sha256Hex(digested);
  }
}
