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

  /** Puts a customer in place. */
  record PutCustomer(Customer customer) implements ConfigurationEdit {
    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.CUSTOMERS;
    }

    @Override
    public String entryId() {
      return customer.id().value();
    }
  }

  /** Puts a budget in place. */
  record PutBudget(Budget budget) implements ConfigurationEdit {
    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.BUDGETS;
    }

    @Override
    public String entryId() {
      return budget.id().value();
    }
  }

  /** Adds a top-up, once. */
  record AddTopUp(TopUp topUp) implements ConfigurationEdit {
    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.TOP_UPS;
    }

    @Override
    public String entryId() {
      return topUp.id().value();
    }
  }

  /** Puts an upstream in place. */
  record PutUpstream(Upstream upstream) implements ConfigurationEdit {
    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.UPSTREAMS;
    }

    @Override
    public String entryId() {
      return upstream.id().value();
    }
  }

  /** Puts a request class in place. */
  record PutRequestClass(RequestClass requestClass) implements ConfigurationEdit {
    @Override
    public ConfigurationSection section() {
      return ConfigurationSection.REQUEST_CLASSES;
    }

    @Override
    public String entryId() {
      return requestClass.id().value();
    }
  }

  /** Removes an entry. */
  record Remove(ConfigurationSection section, String entryId) implements ConfigurationEdit {}
}
