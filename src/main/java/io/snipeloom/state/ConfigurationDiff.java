package io.snipeloom.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The edits that turn the current configuration document into a target document, which an operator
 * supplied as a whole.
 *
 * <p>Immutable and thread-safe. The time to compute the edits is linear in the size of both
 * documents.
 */
public final class ConfigurationDiff {
  private final List<ConfigurationEdit> edits;
  private final List<String> targetPointers;

  private ConfigurationDiff(List<ConfigurationEdit> edits, List<String> targetPointers) {
    this.edits = List.copyOf(edits);
    this.targetPointers = List.copyOf(targetPointers);
  }

  /**
   * Computes the edits that turn the current document into the target. Top-ups are never removed: a
   * top-up that is absent from the target is kept if it was added after the base.
   *
   * @param baseOffset the offset of the document on which the target is based
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} if an identifier occurs
   *     twice in a section of the target or if a top-up of the base is absent from the target
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
   * Returns the edits in the order in which they are to be applied.
   *
   * @return the edits; empty if no change is needed
   */
  public List<ConfigurationEdit> edits() {
    return edits;
  }

  /**
   * Checks that the edits would be accepted as a change to the current document.
   *
   * @param current the document with which the edits were computed
   * @param operator the name of the operator who would make the change
   * @throws SnipeloomException if the edits would be refused; its violations point into the target
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
   * Returns the violations with their pointers into the change replaced by pointers into the target
   * document.
   *
   * @param violations the violations of a change that consists of these edits
   */
  public List<Violation> withTargetPointers(List<Violation> violations) {
    return violations.stream().map(this::withTargetPointer).toList();
  }

  private Violation withTargetPointer(Violation violation) {
    for (int i = 0; i < edits.size(); i++) {
      String prefix = edits.get(i).pointer(i);
      String pointer = violation.pointer();
      if (pointer.equals("/edits/" + i) || pointer.equals(prefix)) {
        return new Violation(targetPointers.get(i), violation.message());
      }
      if (pointer.startsWith(prefix + "/")) {
        return new Violation(
            targetPointers.get(i) + pointer.substring(prefix.length()), violation.message());
      }
    }
    return violation;
  }

  /** Collects the edits and violations of all sections. */
  private static final class Builder {
    private final long baseOffset;
    private final List<ConfigurationEdit> edits = new ArrayList<>();
    private final List<String> targetPointers = new ArrayList<>();
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
      Map<String, Entry<T>> unmatched = new HashMap<>();
      current.forEach(entry -> unmatched.put(id.apply(entry.value()), entry));
      Map<String, Integer> firstIndexes = new HashMap<>();
      String pointer = "/" + section.text();
      for (int i = 0; i < target.size(); i++) {
        T value = target.get(i);
        Integer first = firstIndexes.putIfAbsent(id.apply(value), i);
        if (first != null) {
          violations.add(
              new Violation(
                  pointer + '/' + i + "/id",
                  "is the same identifier as in %s/%d".formatted(pointer, first)));
          continue;
        }
        Entry<T> old = unmatched.remove(id.apply(value));
        if (old == null || !old.value().equals(value)) {
          add(put.apply(value), pointer + '/' + i);
        }
      }
      current.stream()
          .filter(entry -> unmatched.containsKey(id.apply(entry.value())))
          .forEach(entry -> remove(section, id.apply(entry.value()), entry.changedAt()));
    }

    private void remove(ConfigurationSection section, String entryId, long changedAt) {
      if (section != ConfigurationSection.TOP_UPS) {
        add(new ConfigurationEdit.Remove(section, entryId), "/" + section.text());
      } else if (changedAt <= baseOffset) {
        violations.add(
            new Violation(
                "/" + section.text(),
                "top-up %s is missing, but a top-up cannot be removed".formatted(entryId)));
      }
    }

    private void add(ConfigurationEdit edit, String targetPointer) {
      edits.add(edit);
      targetPointers.add(targetPointer);
    }

    private ConfigurationDiff build() {
      if (!violations.isEmpty()) {
        throw SnipeloomException.of(
                ErrorCode.INVALID_CONFIGURATION,
                violations.get(0).pointer() + ": " + violations.get(0).message())
            .withOrigin("diff", "")
            .withViolations(violations);
      }
      return new ConfigurationDiff(edits, targetPointers);
    }
  }
}
