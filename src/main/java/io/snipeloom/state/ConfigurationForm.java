package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * The entries of a whole configuration document as they are read from or written to JSON, without
 * log offsets. References between entries are not validated.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ConfigurationForm(
    List<Customer> customers,
    List<Budget> budgets,
    List<TopUp> topUps,
    List<Upstream> upstreams,
    List<RequestClass> requestClasses) {

  /** Copies the sections. */
  public ConfigurationForm {
    customers = List.copyOf(customers);
    budgets = List.copyOf(budgets);
    topUps = List.copyOf(topUps);
    upstreams = List.copyOf(upstreams);
    requestClasses = List.copyOf(requestClasses);
  }

  /** Returns the entries of a document, with each section in the order of its identifiers. */
  public static ConfigurationForm of(ConfigurationDocument document) {
    return new ConfigurationForm(
        document.customers().stream().map(Entry::value).toList(),
        document.budgets().stream().map(Entry::value).toList(),
        document.topUps().stream().map(Entry::value).toList(),
        document.upstreams().stream().map(Entry::value).toList(),
        document.requestClasses().stream().map(Entry::value).toList());
  }
}
