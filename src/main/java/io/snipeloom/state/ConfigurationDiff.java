package io.snipeloom.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The edits that lead from a configuration document to a whole document that an operator wrote.
 *
 * <p>Immutable and thread-safe. Costs time in proportion to both documents.
 */
public final class ConfigurationDiff {
  private final List<ConfigurationEdit> edits;
  private final List<String> sources;

  private ConfigurationDiff(List<ConfigurationEdit> edits, List<String> sources) {
    this.edits = List.copyOf(edits);
    this.sources = List.copyOf(sources);
  }

  /**
   * Returns the edits between two documents. Top-ups are only added: one that was added after the
   * base and is absent from the target stays.
   *
   * @param current the document in force
   * @param baseOffset the offset of the document on which the target was based
   * @param target the document wanted
   * @return the edits
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} if an identifier stands
   *     twice in a section or a top-up of the base is absent
   */
  public static ConfigurationDiff between(
      ConfigurationDocument current, long baseOffset, ConfigurationForm target) {
    Builder builder = new Builder(baseOffset);
    builder.compare(
        ConfigurationSection.CUSTOMERS,
        current.customers(),
        target.customers(),
        customer -> customer.id().value(),
        ConfigurationEdit.PutCustomer::new);
    builder.compare(
        ConfigurationSection.BUDGETS,
        current.budgets(),
        target.budgets(),
        budget -> budget.id().value(),
        ConfigurationEdit.PutBudget::new);
    builder.compare(
        ConfigurationSection.TOP_UPS,
        current.topUps(),
        target.topUps(),
        topUp -> topUp.id().value(),
        ConfigurationEdit.AddTopUp::new);
    builder.compare(
        ConfigurationSection.UPSTREAMS,
        current.upstreams(),
        target.upstreams(),
        upstream -> upstream.id().value(),
        ConfigurationEdit.PutUpstream::new);
    builder.compare(
        ConfigurationSection.REQUEST_CLASSES,
        current.requestClasses(),
        target.requestClasses(),
        requestClass -> requestClass.id().value(),
        ConfigurationEdit.PutRequestClass::new);
    return builder.build();
  }

  /**
   * Returns the edits.
   *
   * @return the edits; empty if the documents are equal
   */
  public List<ConfigurationEdit> edits() {
    return edits;
  }

  /**
   * Checks that the edits would be accepted on a document.
   *
   * @param current the document, to which the edits lead from
   * @param operator the operator
   * @throws SnipeloomException if the edits would be refused, with pointers into the target
   */
  public void check(ConfigurationDocument current, String operator) {
    if (edits.isEmpty()) {
      return;
    }
    try {
      current.with(
          current.offset() + 1, new ConfigurationChange(current.offset(), operator, edits));
    } catch (SnipeloomException e) {
      throw e.withViolations(withTargetPointers(e.violations()));
    }
  }

  /**
   * Returns the same violations with pointers into the target document instead of the change.
   *
   * @param violations violations of a change made of these edits
   * @return the violations with pointers into the target
   */
  public List<Violation> withTargetPointers(List<Violation> violations) {
    return violations.stream().map(this::withTargetPointer).toList();
  }

  private Violation withTargetPointer(Violation violation) {
    for (int i = 0; i < edits.size(); i++) {
      String prefix = edits.get(i).pointer(i);
      String pointer = violation.pointer();
      if (pointer.equals("/edits/" + i) || pointer.equals(prefix)) {
        return new Violation(sources.get(i), violation.message());
      }
      if (pointer.startsWith(prefix + "/")) {
        return new Violation(
            sources.get(i) + pointer.substring(prefix.length()), violation.message());
      }
    }
    return violation;
  }

  /** Collects the edits of all sections. */
  private static final class Builder {
    private final long baseOffset;
    private final List<ConfigurationEdit> edits = new ArrayList<>();
    private final List<String> sources = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();

    private Builder(long baseOffset) {
      this.baseOffset = baseOffset;
    }

    private <T> void compare(
        ConfigurationSection section,
        Collection<Entry<T>> current,
        List<T> target,
        Function<T, String> id,
        Function<T, ConfigurationEdit> put) {
      Map<String, Entry<T>> left = new HashMap<>();
      current.forEach(entry -> left.put(id.apply(entry.value()), entry));
      Map<String, Integer> seen = new HashMap<>();
      String pointer = "/" + section.text();
      for (int i = 0; i < target.size(); i++) {
        T wanted = target.get(i);
        Integer first = seen.putIfAbsent(id.apply(wanted), i);
        if (first != null) {
          violations.add(
              new Violation(
                  pointer + '/' + i + "/id", "stands at %s/%d too".formatted(pointer, first)));
          continue;
        }
        Entry<T> old = left.remove(id.apply(wanted));
        if (old == null || !old.value().equals(wanted)) {
          add(put.apply(wanted), pointer + '/' + i);
        }
      }
      current.stream()
          .filter(entry -> left.containsKey(id.apply(entry.value())))
          .forEach(entry -> remove(section, id.apply(entry.value()), entry.changedAt()));
    }

    private void remove(ConfigurationSection section, String entryId, long changedAt) {
      if (section != ConfigurationSection.TOP_UPS) {
        add(new ConfigurationEdit.Remove(section, entryId), "/" + section.text());
      } else if (changedAt <= baseOffset) {
        violations.add(
            new Violation(
                "/" + section.text(),
                "top-up %s is absent but cannot be removed".formatted(entryId)));
      }
    }

    private void add(ConfigurationEdit edit, String source) {
      edits.add(edit);
      sources.add(source);
    }

    private ConfigurationDiff build() {
      if (!violations.isEmpty()) {
        throw SnipeloomException.of(
                ErrorCode.INVALID_CONFIGURATION,
                violations.get(0).pointer() + ": " + violations.get(0).message())
            .withOrigin("diff", "")
            .withViolations(violations);
      }
      return new ConfigurationDiff(edits, sources);
    }
  }
}
