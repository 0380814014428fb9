package io.snipeloom.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Applies one change to the content of a document, or reports every reason for which the change is
 * refused.
 *
 * <p>Deterministic: the outcome depends only on the document, the offset and the change. Each
 * object is used once, by one thread.
 */
final class ConfigurationTransition {
  private static final int MAX_VIOLATIONS_IN_MESSAGE = 3;

  private final ConfigurationDocument base;
  private final ConfigurationContent before;
  private final long offset;
  private final ConfigurationChange change;
  private final List<Violation> conflicts = new ArrayList<>();
  private final List<Violation> violations = new ArrayList<>();
  private ConfigurationContent after;

  ConfigurationTransition(ConfigurationDocument base, long offset, ConfigurationChange change) {
    this.base = base;
    this.before = base.content();
    this.offset = offset;
    this.change = change;
    this.after = before;
  }

  ConfigurationContent run() {
    checkOffset();
    checkMetadata();
    if (violations.isEmpty()) {
      applyEdits();
      checkReferences();
    }
    if (!conflicts.isEmpty()) {
      throw refusal(ErrorCode.CONFIGURATION_CONFLICT, conflicts);
    }
    if (!violations.isEmpty()) {
      throw refusal(ErrorCode.INVALID_CONFIGURATION, violations);
    }
    return after.withRemovals(after.removals().trimmed());
  }

  private void checkOffset() {
    if (offset <= base.offset()) {
      throw SnipeloomException.of(
          ErrorCode.INVARIANT_VIOLATED,
          "the change offset %d is not greater than the document offset %d"
              .formatted(offset, base.offset()));
    }
  }

  private void checkMetadata() {
    if (change.baseOffset() > base.offset()) {
      violations.add(
          new Violation(
              "/baseOffset",
              "%d is greater than the offset of the latest configuration, %d"
                  .formatted(change.baseOffset(), base.offset())));
    }
    String operator = change.operator();
    if (operator == null || !Identifiers.isWellFormed(operator)) {
      violations.add(new Violation("/operator", "must be a well-formed identifier"));
    }
    int count = change.edits().size();
    if (count < 1 || count > ConfigurationChange.MAX_EDITS) {
      violations.add(
          new Violation(
              "/edits",
              "must have 1 to %d edits but has %d"
                  .formatted(ConfigurationChange.MAX_EDITS, count)));
    }
  }

  private void applyEdits() {
    Set<String> editedEntries = new HashSet<>();
    for (int i = 0; i < change.edits().size(); i++) {
      ConfigurationEdit edit = change.edits().get(i);
      if (!editedEntries.add(edit.section().text() + '/' + edit.entryId())) {
        violations.add(
            new Violation(
                "/edits/" + i, "%s is edited twice in one change".formatted(edit.entryId())));
        continue;
      }
      checkConflict(i, edit);
      if (EntryRules.check(edit, edit.pointer(i), violations)
          && TopUpRules.check(after, edit, edit.pointer(i), violations)) {
        after = after.plus(edit, offset);
      }
    }
  }

  private void checkConflict(int index, ConfigurationEdit edit) {
    if (edit instanceof ConfigurationEdit.AddTopUp) {
      return;
    }
    Entry<?> entry = before.entry(edit.section(), edit.entryId());
    long changedAt = entry == null ? lastPossibleRemoval(edit) : entry.changedAt();
    if (changedAt > change.baseOffset()) {
      String verb = entry == null ? "removed" : "changed";
      conflicts.add(
          new Violation(
              "/edits/" + index,
              "/%s/%s was %s at offset %d, after base offset %d"
                  .formatted(
                      edit.section().text(),
                      edit.entryId(),
                      verb,
                      changedAt,
                      change.baseOffset())));
    }
  }

  /**
   * Returns the offset at which the entry was last removed. If no removal is retained, it may have
   * been evicted, so the greatest evicted offset is returned.
   */
  private long lastPossibleRemoval(ConfigurationEdit edit) {
    long removedAt = before.removals().removedAt(edit.section(), edit.entryId());
    return removedAt >= 0 ? removedAt : before.removals().forgottenUpTo();
  }

  private void checkReferences() {
    ReferenceRules rules = new ReferenceRules(before, after, violations);
    for (int i = 0; i < change.edits().size(); i++) {
      ConfigurationEdit edit = change.edits().get(i);
      rules.check(edit, edit.pointer(i));
    }
  }

  private static SnipeloomException refusal(ErrorCode code, List<Violation> reasons) {
    StringBuilder message = new StringBuilder();
    for (Violation reason :
        reasons.subList(0, Math.min(MAX_VIOLATIONS_IN_MESSAGE, reasons.size()))) {
      message.append(message.isEmpty() ? "" : "; ");
      message.append(reason.pointer()).append(": ").append(reason.message());
    }
    if (reasons.size() > MAX_VIOLATIONS_IN_MESSAGE) {
      message.append("; and %d more".formatted(reasons.size() - MAX_VIOLATIONS_IN_MESSAGE));
    }
    return SnipeloomException.of(code, message.toString())
        .withOrigin("configure", "")
        .withViolations(reasons);
  }
}
