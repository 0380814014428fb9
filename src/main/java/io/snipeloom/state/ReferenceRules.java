package io.snipeloom.state;

import java.util.List;

/**
 * Rules that concern several entries. They are checked after all edits of a change have been
 * applied, and only for the edited entries. All look-ups use the indexes of the content, so no
 * section is scanned and the cost does not grow with the document.
 */
final class ReferenceRules {
  private final ConfigurationContent before;
  private final ConfigurationContent after;
  private final List<Violation> violations;

  ReferenceRules(
      ConfigurationContent before, ConfigurationContent after, List<Violation> violations) {
    this.before = before;
    this.after = after;
    this.violations = violations;
  }

  void check(ConfigurationEdit edit, String pointer) {
    if (edit instanceof ConfigurationEdit.PutCustomer put) {
      checkCustomer(put.customer(), pointer);
    } else if (edit instanceof ConfigurationEdit.PutBudget put) {
      checkBudget(put.budget(), pointer);
    } else if (edit instanceof ConfigurationEdit.AddTopUp add) {
      checkTopUp(add.topUp(), pointer);
    } else if (edit instanceof ConfigurationEdit.PutUpstream put) {
      checkUpstream(put.upstream(), pointer);
    } else if (edit instanceof ConfigurationEdit.PutRequestClass put) {
      checkRequestClass(put.requestClass(), pointer);
    } else if (edit instanceof ConfigurationEdit.Remove remove) {
      checkRemoval(remove, pointer);
    }
  }

  private void checkCustomer(Customer customer, String pointer) {
    if (customer.defaultBudget() != null) {
      Entry<Budget> budget = after.budgets().get(customer.defaultBudget());
      if (budget == null) {
        addViolation(
            pointer + "/defaultBudget", missingMessage("budget", customer.defaultBudget()));
      } else if (!customer.id().equals(budget.value().customer())) {
        addViolation(
            pointer + "/defaultBudget",
            "budget %s belongs to another customer".formatted(customer.defaultBudget()));
      }
    }
    for (int i = 0; i < customer.apiKeyHashes().size(); i++) {
      if (after.indexes().customersByKeyHash().get(customer.apiKeyHashes().get(i)).size() > 1) {
        addViolation(pointer + "/apiKeyHashes/" + i, "is also an API key of another customer");
      }
    }
  }

  private void checkBudget(Budget budget, String pointer) {
    if (budget.customer() == null) {
      return;
    }
    if (!after.customers().containsKey(budget.customer())) {
      addViolation(pointer + "/customer", missingMessage("customer", budget.customer()));
    }
    Entry<Budget> old = before.budgets().get(budget.id());
    if (old == null || old.value().customer().equals(budget.customer())) {
      return;
    }
    if (after.indexes().toppedUpTokens(budget.id()) > 0) {
      addViolation(pointer + "/customer", "cannot change once the budget has a top-up");
    }
    checkNotDefault(old.value(), pointer + "/customer");
  }

  private void checkTopUp(TopUp topUp, String pointer) {
    if (topUp.budget() != null && !after.budgets().containsKey(topUp.budget())) {
      addViolation(pointer + "/budget", missingMessage("budget", topUp.budget()));
    }
  }

  private void checkUpstream(Upstream upstream, String pointer) {
    for (int i = 0; i < upstream.models().size(); i++) {
      ModelId model = upstream.models().get(i);
      if (after.indexes().upstreamsByModel().get(model).size() > 1) {
        addViolation(
            pointer + "/models/" + i,
            "model %s is also served by another upstream".formatted(model));
      }
    }
    if (upstream.kind() == null) {
      return;
    }
    for (RequestClassId id : after.indexes().classesByUpstream().get(upstream.id())) {
      if (!isValidFor(after.requestClasses().get(id).value(), upstream.kind())) {
        addViolation(
            pointer + "/kind", "request class %s is not valid for this kind".formatted(id));
      }
    }
  }

  private void checkRequestClass(RequestClass requestClass, String pointer) {
    if (requestClass.upstream() == null) {
      return;
    }
    Entry<Upstream> upstream = after.upstreams().get(requestClass.upstream());
    if (upstream == null) {
      addViolation(pointer + "/upstream", missingMessage("upstream", requestClass.upstream()));
    } else if (upstream.value().kind() == UpstreamKind.MODEL_ENGINE) {
      checkModelClass(requestClass, pointer);
    } else if (upstream.value().kind() == UpstreamKind.PLAIN_SERVICE) {
      checkPlainClass(requestClass, pointer);
    }
    if (after.indexes().routes().get(requestClass.route()).size() > 1) {
      addViolation(pointer + "/route", "another request class has the same route");
    }
  }

  private void checkModelClass(RequestClass requestClass, String pointer) {
    if (requestClass.maxOutputTokens() < 1) {
      addViolation(pointer + "/maxOutputTokens", "must be at least 1 for model engines");
    }
    if (requestClass.fixedTokens() != 0) {
      addViolation(pointer + "/fixedTokens", "must be 0 for model engines");
    }
    if (requestClass.route() != null) {
      addViolation(pointer + "/route", "must be absent for model engines");
    }
  }

  private void checkPlainClass(RequestClass requestClass, String pointer) {
    if (requestClass.maxOutputTokens() != 0) {
      addViolation(pointer + "/maxOutputTokens", "must be 0 for plain services");
    }
    if (requestClass.route() == null) {
      addViolation(pointer + "/route", "is required for plain services");
    }
  }

  private static boolean isValidFor(RequestClass requestClass, UpstreamKind kind) {
    return kind == UpstreamKind.MODEL_ENGINE
        ? requestClass.route() == null && requestClass.maxOutputTokens() > 0
        : requestClass.route() != null && requestClass.maxOutputTokens() == 0;
  }

  private void checkRemoval(ConfigurationEdit.Remove remove, String pointer) {
    Entry<?> old = before.entry(remove.section(), remove.entryId());
    if (old == null) {
      addViolation(pointer, missingMessage(remove.section().text() + " entry", remove.entryId()));
    } else if (old.value() instanceof Customer customer) {
      int count = after.indexes().budgetCount(customer.id());
      if (count > 0) {
        addViolation(pointer, "customer %s still has %d budgets".formatted(customer.id(), count));
      }
    } else if (old.value() instanceof Budget budget) {
      if (after.indexes().toppedUpTokens(budget.id()) > 0) {
        addViolation(pointer, "budget %s has top-ups and cannot be removed".formatted(budget.id()));
      }
      checkNotDefault(budget, pointer);
    } else if (old.value() instanceof Upstream upstream) {
      for (RequestClassId id : after.indexes().classesByUpstream().get(upstream.id())) {
        addViolation(
            pointer, "request class %s refers to upstream %s".formatted(id, upstream.id()));
      }
    }
  }

  private void checkNotDefault(Budget budget, String pointer) {
    Entry<Customer> owner = after.customers().get(budget.customer());
    if (owner != null && budget.id().equals(owner.value().defaultBudget())) {
      addViolation(
          pointer,
          "budget %s is the default budget of customer %s"
              .formatted(budget.id(), budget.customer()));
    }
  }

  private static String missingMessage(String kind, Object id) {
    return "there is no %s %s".formatted(kind, Identifiers.truncated(id.toString()));
  }

  private void addViolation(String pointer, String message) {
    violations.add(new Violation(pointer, message));
  }
}
