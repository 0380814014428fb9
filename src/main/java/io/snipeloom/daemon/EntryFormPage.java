package io.snipeloom.daemon;

import static io.snipeloom.daemon.Html.element;

import io.snipeloom.state.Violation;
import java.util.ArrayList;
import java.util.List;

/**
 * The page with the form of one entry, which shows each error next to its field.
 *
 * @param section the section of the entry
 * @param entryId the identifier of the edited entry; empty for a new one
 * @param values the values shown in the fields
 * @param violations the errors, with pointers relative to the entry
 * @param newSecret a newly created API key, which is shown only on this page; empty if none
 */
record EntryFormPage(
    SectionForm section,
    String entryId,
    FormValues values,
    List<Violation> violations,
    String newSecret) {

  static EntryFormPage of(SectionForm section, String entryId, FormValues values) {
    return new EntryFormPage(section, entryId, values, List.of(), "");
  }

  EntryFormPage with(List<Violation> newViolations) {
    return new EntryFormPage(section, entryId, values, newViolations, newSecret);
  }

  Html render(ConsoleContext context) {
    Html form =
        ConsolePages.form(context, section.path() + "/save")
            .add(ConsolePages.hidden(ConsolePages.ENTRY, entryId));
    section.fields().forEach(field -> form.add(field(field)));
    form.add(ConsolePages.button("Save to draft"));
    if (section == SectionForm.CUSTOMERS) {
      form.add(ConsolePages.button("Create API key").with("formaction", section.path() + "/key"));
    }
    String title = entryId.isEmpty() ? "Add to " + section.title() : "Edit " + entryId;
    return ConsolePages.signedInPage(context, title, newSecretSection(), generalErrors(), form);
  }

  private Html newSecretSection() {
    if (newSecret.isEmpty()) {
      return element("div");
    }
    return element("section")
        .with("role", "status")
        .add(
            element("p", "The new API key, shown only now. Save and publish its hash below."),
            element("code", newSecret).with("id", "new-api-key"));
  }

  private Html generalErrors() {
    List<Violation> unassigned =
        violations.stream()
            .filter(
                violation ->
                    section.fields().stream()
                        .noneMatch(field -> field.contains(violation.pointer())))
            .toList();
    Html list = element("ul").with("class", "error");
    unassigned.forEach(violation -> list.add(element("li", violation.message())));
    return unassigned.isEmpty() ? element("div") : list.with("role", "alert");
  }

  private Html field(FormField field) {
    String id = field.htmlId();
    List<String> errors =
        violations.stream()
            .filter(violation -> field.contains(violation.pointer()))
            .map(Violation::message)
            .toList();
    Html input = input(field, values.text(field.name())).with("id", id).with("name", field.name());
    Html group = element("div").add(element("label", field.label()).with("for", id), input);
    List<String> describedBy = new ArrayList<>();
    if (!field.hint().isEmpty()) {
      group.add(element("p", field.hint()).with("class", "hint").with("id", id + "-hint"));
      describedBy.add(id + "-hint");
    }
    if (!errors.isEmpty()) {
      group.add(
          element("p", String.join("; ", errors)).with("class", "error").with("id", id + "-error"));
      describedBy.add(id + "-error");
      input.with("aria-invalid", "true");
    }
    if (!describedBy.isEmpty()) {
      input.with("aria-describedby", String.join(" ", describedBy));
    }
    return group;
  }

  private Html input(FormField field, String value) {
    return switch (field.kind()) {
      case LINES -> element("textarea").with("rows", "4").text("\n" + value);
      case CHOICE -> choice(field, value);
      case FLAG ->
          element("input")
              .with("type", "checkbox")
              .with("value", "true")
              .withFlag("checked", value.equals("true"));
      case NUMBER ->
          element("input").with("type", "text").with("inputmode", "numeric").with("value", value);
      case TEXT ->
          element("input")
              .with("type", "text")
              .with("value", value)
              .withFlag("readonly", field.name().equals("id") && !entryId.isEmpty());
    };
  }

  private static Html choice(FormField field, String value) {
    Html select = element("select");
    for (String option : field.options()) {
      select.add(
          element("option", option)
              .with("value", option)
              .withFlag("selected", option.equals(value)));
    }
    return select;
  }
}
