package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.util.List;

/**
 * The data from which the pages for a signed-in operator are built.
 *
 * @param session the session of the operator
 * @param formToken the token against cross-site request forgery that each form must carry
 * @param current the current configuration document
 * @param draft the unpublished edits of the operator
 */
record ConsoleContext(
    ConsoleSession session, String formToken, ConfigurationDocument current, Draft draft) {

  String operator() {
    return session.operator();
  }

  ConsoleContext with(Draft newDraft) {
    return new ConsoleContext(session, formToken, current, newDraft);
  }

  /**
   * Returns the current document with the edits of the draft applied, or without them if they
   * cannot be applied.
   */
  ConfigurationDocument documentWithDraft() {
    try {
      return draft.preview(current, operator());
    } catch (SnipeloomException e) {
      return current;
    }
  }

  /** Returns why the draft cannot be applied to the current document; empty if it can. */
  List<Violation> draftViolations() {
    try {
      draft.preview(current, operator());
      return List.of();
    } catch (SnipeloomException e) {
      return e.violations();
    }
  }
}
