package io.snipeloom.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Applies one change to the content of a document, or finds every reason not to.
 *
 * <p>Deterministic: the outcome depends on the document, the offset and the change alone. Used
 * once, by one thread.
 */
final class ConfigurationTransition {
  private static final int MAX_MESSAGE_VIOLATIONS = 3;

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
    checkOffsets();
    checkFrame();
    if (violations.isEmpty()) {
      applyEdits();
      checkOutcome();
    }
    if (!conflicts.isEmpty()) {
      throw refusal(ErrorCode.CONFIGURATION_CONFLICT, conflicts);
    }
    if (!violations.isEmpty()) {
      throw refusal(ErrorCode.INVALID_CONFIGURATION, violations);
    }
    return after.withRemovals(after.removals().trimmed());
  }

  private void checkOffsets() {
    if (offset <= base.offset()) {
      throw SnipeloomException.of(
          ErrorCode.INVARIANT_VIOLATED,
          "the change at offset %d does not follow offset %d".formatted(offset, base.offset()));
    }
  }

  private void checkFrame() {
    if (change.baseOffset() > base.offset()) {
      violations.add(
          new Violation(
              "/baseOffset",
              "%d is after the latest configuration, %d"
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
    Set<String> touched = new HashSet<>();
    for (int i = 0; i < change.edits().size(); i++) {
      ConfigurationEdit edit = change.edits().get(i);
      if (!touched.add(edit.section().text() + '/' + edit.entryId())) {
        violations.add(
            new Violation(
                "/edits/" + i, "%s is edited twice in one change".formatted(edit.entryId())));
        continue;
      }
      checkUnchanged(i, edit);
      if (EntryRules.check(edit, edit.pointer(i), violations)
          && TopUpRules.check(after, edit, edit.pointer(i), violations)) {
        after = after.plus(edit, offset);
      }
    }
  }

  private void checkUnchanged(int index, ConfigurationEdit edit) {
    if (edit instanceof ConfigurationEdit.AddTopUp) {
      return;
    }
    Entry<?> entry = before.entry(edit.section(), edit.entryId());
    long changedAt = entry == null ? lastRemoval(edit) : entry.changedAt();
    if (changedAt > change.baseOffset()) {
      String what = entry == null ? "removed" : "changed";
      conflicts.add(
          new Violation(
              "/edits/" + index,
              "/%s/%s was %s at offset %d, after base offset %d"
                  .formatted(
                      edit.section().text(),
                      edit.entryId(),
                      what,
                      changedAt,
                      change.baseOffset())));
    }
  }

  private long lastRemoval(ConfigurationEdit edit) {
    long removedAt = before.removals().removedAt(edit.section(), edit.entryId());
    return removedAt >= 0 ? removedAt : before.removals().forgottenUpTo();
  }

  private void checkOutcome() {
    ReferenceRules rules = new ReferenceRules(before, after, violations);
    for (int i = 0; i < change.edits().size(); i++) {
      ConfigurationEdit edit = change.edits().get(i);
      rules.check(edit, edit.pointer(i));
    }
  }

  private static SnipeloomException refusal(ErrorCode code, List<Violation> places) {
    StringBuilder message = new StringBuilder();
    for (Violation place : places.subList(0, Math.min(MAX_MESSAGE_VIOLATIONS, places.size()))) {
      message.append(message.isEmpty() ? "" : "; ");
      message.append(place.pointer()).append(": ").append(place.message());
    }
    if (places.size() > MAX_MESSAGE_VIOLATIONS) {
      message.append("; and %d more".formatted(places.size() - MAX_MESSAGE_VIOLATIONS));
    }
    return SnipeloomException.of(code, message.toString())
        .withOrigin("configure", "")
        .withViolations(places);
  }
}
