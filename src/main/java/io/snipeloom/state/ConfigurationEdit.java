package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An edit to the configuration document that creates, replaces or removes one entry. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "edit")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigurationEdit.PutCustomer.class, name = "putCustomer"),
  @JsonSubTypes.Type(value = ConfigurationEdit.PutBudget.class, name = "putBudget"),
  @JsonSubTypes.Type(value = ConfigurationEdit.AddTopUp.class, name = "addTopUp"),
  @JsonSubTypes.Type(value = ConfigurationEdit.PutUpstream.class, name = "putUpstream"),
  @JsonSubTypes.Type(value = ConfigurationEdit.PutRequestClass.class, name = "putRequestClass"),
  @JsonSubTypes.Type(value = ConfigurationEdit.Remove.class, name = "remove")
})
@JsonInclude(JsonInclude.Include.NON_NULL)
public sealed interface ConfigurationEdit {

  /** Returns the section of the edited entry. */
  ConfigurationSection section();

  /** Returns the text form of the identifier of the edited entry. */
  String entryId();

  /**
   * Returns the JSON Pointer to the entry of this edit within its change, or to the edit itself if
   * it has no entry.
   *
   * @param index the index of the edit in the change, starting at 0
   */
  default String pointer(int index) {
    return "/edits/" + index;
  }

  /** Creates a customer or replaces the one with the same identifier. */
  record PutCustomer(Customer customer) implements ConfigurationEdit {
    /** Checks that the entry is present. */
    public PutCustomer {
      Entry.requirePresent("customer", customer);
    }

    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.CUSTOMERS;
    }

    @Override
    public String entryId() {
      return customer.id().value();
    }

    @Override
    public String pointer(int index) {
      return "/edits/" + index + "/customer";
    }
  }

  /** Creates a budget or replaces the one with the same identifier. */
  record PutBudget(Budget budget) implements ConfigurationEdit {
    /** Checks that the entry is present. */
    public PutBudget {
      Entry.requirePresent("budget", budget);
    }

    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.BUDGETS;
    }

    @Override
    public String entryId() {
      return budget.id().value();
    }

    @Override
    public String pointer(int index) {
      return "/edits/" + index + "/budget";
    }
  }

  /** Adds a top-up. Has no effect if an equal top-up already exists. */
  record AddTopUp(TopUp topUp) implements ConfigurationEdit {
    /** Checks that the entry is present. */
    public AddTopUp {
      Entry.requirePresent("topUp", topUp);
    }

    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.TOP_UPS;
    }

    @Override
    public String entryId() {
      return topUp.id().value();
    }

    @Override
    public String pointer(int index) {
      return "/edits/" + index + "/topUp";
    }
  }

  /** Creates an upstream or replaces the one with the same identifier. */
  record PutUpstream(Upstream upstream) implements ConfigurationEdit {
    /** Checks that the entry is present. */
    public PutUpstream {
      Entry.requirePresent("upstream", upstream);
    }

    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.UPSTREAMS;
    }

    @Override
    public String entryId() {
      return upstream.id().value();
    }

    @Override
    public String pointer(int index) {
      return "/edits/" + index + "/upstream";
    }
  }

  /** Creates a request class or replaces the one with the same identifier. */
  record PutRequestClass(RequestClass requestClass) implements ConfigurationEdit {
    /** Checks that the entry is present. */
    public PutRequestClass {
      Entry.requirePresent("requestClass", requestClass);
    }

    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.REQUEST_CLASSES;
    }

    @Override
    public String entryId() {
      return requestClass.id().value();
    }

    @Override
    public String pointer(int index) {
      return "/edits/" + index + "/requestClass";
    }
  }

  /** Removes the entry with the given identifier. Top-ups cannot be removed. */
  record Remove(ConfigurationSection section, String entryId) implements ConfigurationEdit {
    /** Checks that the section and the identifier are present. */
    public Remove {
      Entry.requirePresent("section", section);
      Entry.requirePresent("entryId", entryId);
    }
  }
}
