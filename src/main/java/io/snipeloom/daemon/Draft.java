package io.snipeloom.daemon;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationEdit;
import io.snipeloom.state.ConfigurationEntry;
import io.snipeloom.state.ConfigurationJson;
import io.snipeloom.state.ConfigurationSection;
import io.snipeloom.state.Entry;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * The edits that an operator has made but not yet published, at most one for each entry. A draft is
 * not stored on an instance but sent along in a hidden field of each form. Immutable and
 * thread-safe.
 */
final class Draft {
  static final int MAX_TEXT_CHARACTERS = 256 << 10;

  private final long baseOffset;
  private final List<ConfigurationEdit> edits;

  private Draft(long baseOffset, List<ConfigurationEdit> edits) {
    this.baseOffset = baseOffset;
    this.edits = List.copyOf(edits);
  }

  static Draft startingAt(long baseOffset) {
    return new Draft(baseOffset, List.of());
  }

  /** Parses the value of the form field; an empty value stands for a new draft. */
  static Draft parse(String text, String operator, ConfigurationDocument current) {
    if (text.isEmpty()) {
      return startingAt(current.offset());
    }
    if (text.length() > MAX_TEXT_CHARACTERS) {
      throw tooLarge();
    }
    if (text.matches("-?[0-9]{1,18}")) {
      return checkedBase(startingAt(Long.parseLong(text)), current);
    }
    ConfigurationChange change = ConfigurationJson.parseChange(decode(text), operator);
    return checkedBase(new Draft(change.baseOffset(), change.edits()), current);
  }

  private static Draft checkedBase(Draft draft, ConfigurationDocument current) {
    if (draft.baseOffset > current.offset()) {
      throw SnipeloomException.of(
          ErrorCode.NOT_READY,
          "this instance has not applied the configuration of the draft yet; try again");
    }
    return draft;
  }

  private static byte[] decode(String text) {
    try {
      return Base64.getUrlDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "the draft is malformed").withCause(e);
    }
  }

  String toText() {
    if (edits.isEmpty()) {
      return Long.toString(baseOffset);
    }
    byte[] json = ConfigurationJson.render(new ConfigurationChange(baseOffset, "", edits));
    String text = new String(Base64.getUrlEncoder().encode(json), US_ASCII);
    if (text.length() > MAX_TEXT_CHARACTERS) {
      throw tooLarge();
    }
    return text;
  }

  private static SnipeloomException tooLarge() {
    return SnipeloomException.of(
        ErrorCode.BODY_TOO_LARGE, "the draft is too large; publish it in parts");
  }

  long baseOffset() {
    return baseOffset;
  }

  List<ConfigurationEdit> edits() {
    return edits;
  }

  int indexOf(ConfigurationSection section, String entryId) {
    for (int i = 0; i < edits.size(); i++) {
      if (edits.get(i).section() == section && edits.get(i).entryId().equals(entryId)) {
        return i;
      }
    }
    return -1;
  }

  Draft with(ConfigurationEdit edit) {
    List<ConfigurationEdit> copy = new ArrayList<>(edits);
    int index = indexOf(edit.section(), edit.entryId());
    if (index >= 0) {
      copy.set(index, edit);
    } else {
      copy.add(edit);
    }
    return new Draft(baseOffset, copy);
  }

  /**
   * Returns the draft with an edit that removes an entry, or without any edit of the entry if the
   * current document does not contain it.
   */
  Draft without(ConfigurationDocument current, ConfigurationSection section, String entryId) {
    Optional<Entry<? extends ConfigurationEntry>> entry = current.entry(section, entryId);
    if (entry.isPresent()) {
      return with(new ConfigurationEdit.Remove(section, entryId));
    }
    return new Draft(
        baseOffset,
        edits.stream()
            .filter(edit -> edit.section() != section || !edit.entryId().equals(entryId))
            .toList());
  }

  Draft rebasedOn(ConfigurationDocument current) {
    return new Draft(current.offset(), edits);
  }

  ConfigurationChange toChange(String operator) {
    return new ConfigurationChange(baseOffset, operator, edits);
  }

  /**
   * Returns the current document with the edits applied.
   *
   * @throws SnipeloomException if the edits are invalid or conflict with the document
   */
  ConfigurationDocument preview(ConfigurationDocument current, String operator) {
    return edits.isEmpty()
        ? current
        : current.with(
            current.offset() + 1, new ConfigurationChange(current.offset(), operator, edits));
  }
}
