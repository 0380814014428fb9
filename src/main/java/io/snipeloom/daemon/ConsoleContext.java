package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.util.List;

/**
 * What each page of a signed-in operator is built from.
 *
 * @param session the session
 * @param formToken the token that the forms of this session carry
 * @param current the document in force
 * @param draft the draft
 */
record ConsoleContext(
    ConsoleSession session, String formToken, ConfigurationDocument current, Draft draft) {

  String operator() {
    return session.operator();
  }

  ConsoleContext with(Draft newDraft) {
    return new ConsoleContext(session, formToken, current, newDraft);
  }

  /** Returns the document with the draft, or the document in force if the draft does not fit. */
  ConfigurationDocument shown() {
    try {
      return draft.preview(current, operator());
    } catch (SnipeloomException e) {
      return current;
    }
  }

  /** Returns why the draft does not fit the document in force; empty if it does. */
  List<Violation> problems() {
    try {
      draft.preview(current, operator());
      return List.of();
    } catch (SnipeloomException e) {
      return e.violations();
    }
  }
}
