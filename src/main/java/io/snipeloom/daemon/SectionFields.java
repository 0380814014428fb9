package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationSection;
import io.snipeloom.state.SpendPolicy;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.state.Urgency;
import java.util.Arrays;
import java.util.List;

/** Defines the form fields of each section of the configuration. */
final class SectionFields {
  private static final List<FormField> CUSTOMERS =
      List.of(
          id(),
          FormField.text("name", "Name", "At most 200 characters."),
          FormField.lines(
              "apiKeyHashes", "API key hashes", "SHA-256 in hexadecimal, one to a line."),
          FormField.text("defaultBudget", "Default budget", "Pays when a request names no budget."),
          FormField.choice(
              "policy",
              "Spending policy",
              "TIGHT strands fewer tokens; AVAILABLE refuses less often.",
              names(SpendPolicy.values())));

  private static final List<FormField> TOP_UPS =
      List.of(
          id(),
          FormField.text("budget", "Budget", ""),
          FormField.number("tokens", "Tokens", "At least 1. A top-up cannot be taken back."));

  private static final List<FormField> REQUEST_CLASSES =
      List.of(
          id(),
          FormField.choice("urgency", "Urgency", "", names(Urgency.values())),
          FormField.text("upstream", "Upstream", ""),
          FormField.choice(
              "route/method",
              "Route method",
              "For plain services only.",
              List.of("", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")),
          FormField.text(
              "route/pathPrefix", "Route path", "For plain services only, such as /votes."),
          FormField.number(
              "maxOutputTokens", "Most output tokens", "For model engines; else 0 or empty."),
          FormField.number(
              "fixedTokens", "Price of a call in tokens", "For plain services; else 0 or empty."),
          FormField.number("deadlineMillis", "Deadline in milliseconds", "1 to 86,400,000."),
          FormField.number("queueLimit", "Most waiting requests", "0 to 1,000,000."));

  private static final List<FormField> BUDGETS =
      List.of(id(), FormField.text("customer", "Customer", ""));

  private static final List<FormField> UPSTREAMS =
      List.of(
          id(),
          FormField.choice("kind", "Kind", "", names(UpstreamKind.values())),
          FormField.lines("models", "Models", "For model engines, one to a line."),
          FormField.flag("checksFencing", "Its engines check fencing numbers"));

  private SectionFields() {}

  static List<FormField> of(ConfigurationSection section) {
    return switch (section) {
      case CUSTOMERS -> CUSTOMERS;
      case BUDGETS -> BUDGETS;
      case TOP_UPS -> TOP_UPS;
      case UPSTREAMS -> UPSTREAMS;
      case REQUEST_CLASSES -> REQUEST_CLASSES;
    };
  }

  private static FormField id() {
    return FormField.text(
        "id", "Identifier", "Letters, digits and . _ : # - ; at most 96 characters.");
  }

  private static List<String> names(Enum<?>[] values) {
    return Arrays.stream(values).map(Enum::name).toList();
  }
}
