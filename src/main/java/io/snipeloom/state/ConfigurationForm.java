package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * A whole configuration document as its author wrote it, before any rule across sections is
 * checked.
 *
 * @param customers the customers
 * @param budgets the budgets
 * @param topUps the top-ups
 * @param upstreams the upstreams
 * @param requestClasses the request classes
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

  /**
   * Returns the form of a document, each section in the order of its identifiers.
   *
   * @param document the document
   * @return the form
   */
  public static ConfigurationForm of(ConfigurationDocument document) {
    return new ConfigurationForm(
        document.customers().stream().map(Entry::value).toList(),
        document.budgets().stream().map(Entry::value).toList(),
        document.topUps().stream().map(Entry::value).toList(),
        document.upstreams().stream().map(Entry::value).toList(),
        document.requestClasses().stream().map(Entry::value).toList());
  }
}
