package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One edit of the configuration document: an entry put in place, or an entry removed. */
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

  /**
   * Returns the section that the edit touches.
   *
   * @return the section
   */
  ConfigurationSection section();

  /**
   * Returns the identifier of the entry that the edit touches.
   *
   * @return the text form of the identifier
   */
  String entryId();

  /**
   * Returns the JSON Pointer to the entry of this edit within its change.
   *
   * @param index the position of the edit in the change
   * @return the pointer
   */
  default String pointer(int index) {
    return "/edits/" + index;
  }

  /** Puts a customer in place. */
  record PutCustomer(Customer customer) implements ConfigurationEdit {
    /** Checks that the entry is there. */
    public PutCustomer {
      Entry.required("customer", customer);
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

  /** Puts a budget in place. */
  record PutBudget(Budget budget) implements ConfigurationEdit {
    /** Checks that the entry is there. */
    public PutBudget {
      Entry.required("budget", budget);
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

  /** Adds a top-up, once. */
  record AddTopUp(TopUp topUp) implements ConfigurationEdit {
    /** Checks that the entry is there. */
    public AddTopUp {
      Entry.required("topUp", topUp);
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

  /** Puts an upstream in place. */
  record PutUpstream(Upstream upstream) implements ConfigurationEdit {
    /** Checks that the entry is there. */
    public PutUpstream {
      Entry.required("upstream", upstream);
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

  /** Puts a request class in place. */
  record PutRequestClass(RequestClass requestClass) implements ConfigurationEdit {
    /** Checks that the entry is there. */
    public PutRequestClass {
      Entry.required("requestClass", requestClass);
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

  /** Removes an entry. */
  record Remove(ConfigurationSection section, String entryId) implements ConfigurationEdit {
    /** Checks that both parts are there. */
    public Remove {
      Entry.required("section", section);
      Entry.required("entryId", entryId);
    }
  }
}
