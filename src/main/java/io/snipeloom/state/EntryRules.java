package io.snipeloom.state;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Rules that can be checked on one entry alone: required components and the limits of texts, lists
 * and numbers.
 */
public final class EntryRules {
  /** The maximum number of characters in the name of a customer. */
  public static final int MAX_NAME_CHARACTERS = 200;

  /** The maximum number of API keys of one customer. */
  public static final int MAX_API_KEYS = 20;

  /** The maximum number of models of one upstream. */
  public static final int MAX_MODELS = 100;

  /** The maximum of {@link RequestClass#maxOutputTokens()}. */
  public static final long MAX_OUTPUT_TOKENS = 10_000_000;

  /** The maximum price of one plain HTTP call, in tokens. */
  public static final long MAX_FIXED_TOKENS = 1_000_000_000_000L;

  /** The maximum deadline, in milliseconds: one day. */
  public static final long MAX_DEADLINE_MILLIS = 86_400_000;

  /** The maximum of {@link RequestClass#queueLimit()}. */
  public static final int MAX_QUEUE_LIMIT = 1_000_000;

  private static final int MAX_PATH_CHARACTERS = 200;
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern PATH =
      Pattern.compile("/|(/(?!\\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@-]+)+");
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final String REQUIRED = "is required";

  private final String pointer;
  private final List<Violation> violations;

  private EntryRules(String pointer, List<Violation> violations) {
    this.pointer = pointer;
    this.violations = violations;
  }

  /**
   * Checks the entry of one edit and adds each violation to the list.
   *
   * @return false if the edit adds a top-up without a budget or with fewer than 1 token, which
   *     cannot be applied to the content
   */
  static boolean check(ConfigurationEdit edit, String pointer, List<Violation> violations) {
    EntryRules rules = new EntryRules(pointer, violations);
    if (edit instanceof ConfigurationEdit.PutCustomer put) {
      rules.checkCustomer(put.customer());
    } else if (edit instanceof ConfigurationEdit.PutBudget put) {
      rules.require("customer", put.budget().customer());
    } else if (edit instanceof ConfigurationEdit.AddTopUp add) {
      return rules.checkTopUp(add.topUp());
    } else if (edit instanceof ConfigurationEdit.PutUpstream put) {
      rules.checkUpstream(put.upstream());
    } else if (edit instanceof ConfigurationEdit.PutRequestClass put) {
      rules.checkRequestClass(put.requestClass());
    }
    return true;
  }

  private void checkCustomer(Customer customer) {
    if (customer.name().length() > MAX_NAME_CHARACTERS) {
      addViolation("name", "must have at most %d characters".formatted(MAX_NAME_CHARACTERS));
    }
    if (customer.name().chars().anyMatch(Character::isISOControl)) {
      addViolation("name", "must not contain control characters");
    }
    List<String> hashes = customer.apiKeyHashes();
    if (hashes.size() > MAX_API_KEYS) {
      addViolation("apiKeyHashes", "must have at most %d keys".formatted(MAX_API_KEYS));
    }
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < hashes.size(); i++) {
      if (!HASH.matcher(hashes.get(i)).matches()) {
        addViolation("apiKeyHashes/" + i, "must be a SHA-256 hash in lower-case hexadecimal");
      } else if (!seen.add(hashes.get(i))) {
        addViolation("apiKeyHashes/" + i, "is listed twice");
      }
    }
  }

  private boolean checkTopUp(TopUp topUp) {
    boolean hasBudget = require("budget", topUp.budget());
    if (topUp.tokens() < 1) {
      addViolation("tokens", "must be at least 1 but was %d".formatted(topUp.tokens()));
      return false;
    }
    return hasBudget;
  }

  private void checkUpstream(Upstream upstream) {
    List<ModelId> models = upstream.models();
    if (models.size() > MAX_MODELS) {
      addViolation("models", "must have at most %d models".formatted(MAX_MODELS));
    }
    if (Set.copyOf(models).size() < models.size()) {
      addViolation("models", "must not list a model twice");
    }
    if (!require("kind", upstream.kind())) {
      return;
    }
    boolean isEngine = upstream.kind() == UpstreamKind.MODEL_ENGINE;
    if (isEngine && models.isEmpty()) {
      addViolation("models", "must list at least one model for model engines");
    }
    if (!isEngine && !models.isEmpty()) {
      addViolation("models", "must be empty for plain services");
    }
  }

  private void checkRequestClass(RequestClass requestClass) {
    require("urgency", requestClass.urgency());
    require("upstream", requestClass.upstream());
    checkRange("maxOutputTokens", requestClass.maxOutputTokens(), 0, MAX_OUTPUT_TOKENS);
    checkRange("fixedTokens", requestClass.fixedTokens(), 0, MAX_FIXED_TOKENS);
    checkRange("deadlineMillis", requestClass.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
    checkRange("queueLimit", requestClass.queueLimit(), 0, MAX_QUEUE_LIMIT);
    if (requestClass.route() != null) {
      checkRoute(requestClass.route());
    }
  }

  private void checkRoute(Route route) {
    if (route.method() == null || !METHODS.contains(route.method())) {
      addViolation("route/method", "must be an HTTP method in upper case");
    }
    String prefix = route.pathPrefix();
    if (prefix == null
        || prefix.length() > MAX_PATH_CHARACTERS
        || !PATH.matcher(prefix).matches()) {
      addViolation(
          "route/pathPrefix",
          "must be a path of at most %d characters that starts with a slash, ends without one and"
                  .formatted(MAX_PATH_CHARACTERS)
              + " has no empty or dot segment");
    }
  }

  private void checkRange(String field, long value, long min, long max) {
    if (value < min || value > max) {
      addViolation(field, "must be %d to %d but was %d".formatted(min, max, value));
    }
  }

  private boolean require(String field, Object value) {
    if (value == null) {
      addViolation(field, REQUIRED);
    }
    return value != null;
  }

  private void addViolation(String field, String message) {
    violations.add(new Violation(pointer + '/' + field, message));
  }
}
