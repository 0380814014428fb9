package io.snipeloom.daemon;

import static io.snipeloom.daemon.Html.element;

import io.snipeloom.state.ConfigurationEdit;
import io.snipeloom.state.ConfigurationEntry;
import io.snipeloom.state.ConfigurationJson;
import io.snipeloom.state.Entry;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.Violation;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Builds the pages of the console, except for the forms of entries. */
final class ConsolePages {
  static final String FORM_TOKEN = "formToken";
  static final String DRAFT = "draft";
  static final String ENTRY = "entry";
  static final String AFTER = "after";
  private static final int PAGE_SIZE = 50;

  private ConsolePages() {}

  static Html page(String title, Html... content) {
    Html head =
        element("head")
            .add(
                element("meta").with("charset", "utf-8"),
                element("meta")
                    .with("name", "viewport")
                    .with("content", "width=device-width, initial-scale=1"),
                element("title", title + " - Snipeloom"),
                element("link").with("rel", "stylesheet").with("href", "/console/style.css"));
    Html main = element("main").with("id", "main").add(element("h1", title)).add(content);
    Html skip = element("a", "Skip to content").with("class", "skip").with("href", "#main");
    return element("html").with("lang", "en").add(head, element("body").add(skip).add(main));
  }

  static Html signedInPage(ConsoleContext context, String title, Html... content) {
    List<Html> all = new ArrayList<>();
    all.add(navigation(context));
    all.addAll(List.of(content));
    return page(title, all.toArray(Html[]::new));
  }

  private static Html navigation(ConsoleContext context) {
    Html form = form(context, "/console/review");
    for (SectionForm section : SectionForm.values()) {
      form.add(button(section.title()).with("formaction", section.path()));
    }
    form.add(button("Review draft (%s)".formatted(editCount(context))));
    form.add(button("Sign out " + context.operator()).with("formaction", "/console/sign-out"));
    return element("nav").with("aria-label", "Console").add(form);
  }

  private static String editCount(ConsoleContext context) {
    int edits = context.draft().edits().size();
    return edits == 1 ? "1 edit" : edits + " edits";
  }

  /** Returns a form that submits the form token and the draft in hidden fields. */
  static Html form(ConsoleContext context, String action) {
    return element("form")
        .with("method", "post")
        .with("action", action)
        .add(hidden(FORM_TOKEN, context.formToken()), hidden(DRAFT, context.draft().toText()));
  }

  static Html hidden(String name, String value) {
    return element("input").with("type", "hidden").with("name", name).with("value", value);
  }

  static Html button(String text) {
    return element("button", text).with("type", "submit");
  }

  static Html signIn(String error) {
    Html input =
        element("input")
            .with("type", "password")
            .with("id", "token")
            .with("name", "token")
            .with("autocomplete", "current-password")
            .withFlag("required", true);
    Html form =
        element("form")
            .with("method", "post")
            .with("action", "/console/sign-in")
            .add(element("label", "Operator token").with("for", "token"), input);
    if (!error.isEmpty()) {
      input.with("aria-describedby", "token-error").with("aria-invalid", "true");
      form.add(element("p", error).with("class", "error").with("id", "token-error"));
    }
    return page("Sign in", form.add(button("Sign in")));
  }

  static Html list(ConsoleContext context, SectionForm section, String after, String notice) {
    List<? extends Entry<? extends ConfigurationEntry>> entries =
        context.documentWithDraft().page(section.section(), after, PAGE_SIZE + 1);
    Html body = element("tbody");
    entries.stream()
        .limit(PAGE_SIZE)
        .forEach(entry -> body.add(row(context, section, entry.value())));
    Html head =
        element("thead")
            .add(
                element("tr")
                    .add(
                        element("th", "Identifier").with("scope", "col"),
                        element("th", "Values").with("scope", "col"),
                        element("th", "Draft").with("scope", "col"),
                        element("th", "Actions").with("scope", "col")));
    Html table = element("table").add(element("caption", section.title()), head, body);
    Html form = form(context, section.path() + "/edit").add(button("Add"), table);
    if (entries.size() > PAGE_SIZE) {
      String last = entries.get(PAGE_SIZE - 1).value().entryId();
      form.add(
          button("Next page")
              .with("formaction", section.path())
              .with("name", AFTER)
              .with("value", last));
    }
    return signedInPage(
        context,
        section.title(),
        notice(notice),
        draftViolations(context),
        search(context, section),
        form);
  }

  private static Html search(ConsoleContext context, SectionForm section) {
    return form(context, section.path())
        .add(
            element("label", "Show the entries after this identifier").with("for", "search"),
            element("input").with("type", "text").with("id", "search").with("name", AFTER),
            button("Show"));
  }

  private static Html row(ConsoleContext context, SectionForm section, ConfigurationEntry entry) {
    String id = entry.entryId();
    boolean isInDraft = context.draft().indexOf(section.section(), id) >= 0;
    Html actions = element("td");
    if (section.isMutable() || isInDraft) {
      actions.add(
          button("Edit " + id).with("name", ENTRY).with("value", id),
          button("Remove " + id)
              .with("name", ENTRY)
              .with("value", id)
              .with("formaction", section.path() + "/remove"));
    }
    return element("tr")
        .add(
            element("th", id).with("scope", "row"),
            element("td", section.summary(entry)),
            element("td", isInDraft ? "edited" : ""),
            actions);
  }

  static Html review(ConsoleContext context) {
    Html list = element("ol");
    for (ConfigurationEdit edit : context.draft().edits()) {
      list.add(change(context, edit));
    }
    Html publish = form(context, "/console/publish");
    if (context.draft().edits().isEmpty()) {
      publish = element("p", "The draft has no edits.");
    } else {
      publish.add(
          button("Publish " + editCount(context)),
          button("Discard the draft").with("formaction", "/console/discard"));
    }
    Html base =
        element("p", "Based on the configuration at offset " + context.draft().baseOffset() + ".");
    return signedInPage(context, "Review", base, draftViolations(context), list, publish);
  }

  private static Html change(ConsoleContext context, ConfigurationEdit edit) {
    Optional<Entry<? extends ConfigurationEntry>> before =
        context.current().entry(edit.section(), edit.entryId());
    boolean isRemoval = edit instanceof ConfigurationEdit.Remove;
    String verb = isRemoval ? "remove" : before.isPresent() ? "change" : "add";
    Html item =
        element("li")
            .add(element("h2", "%s: %s %s".formatted(edit.section().text(), verb, edit.entryId())));
    before.ifPresent(entry -> item.add(element("h3", "Before"), json(entry.value())));
    return isRemoval ? item : item.add(element("h3", "After"), json(edit));
  }

  private static Html json(Object value) {
    return element("pre", new String(ConfigurationJson.render(value), StandardCharsets.UTF_8));
  }

  static Html published(ConsoleContext context, long offset) {
    return signedInPage(
        context,
        "Published",
        element("p", "The change is in force from offset %d on.".formatted(offset))
            .with("role", "status"));
  }

  static Html refused(ConsoleContext context, PublishResult.Refused refused) {
    Html again =
        form(context, "/console/rebase")
            .add(
                button("Review the draft against the current configuration"),
                button("Discard the draft").with("formaction", "/console/discard"));
    return signedInPage(
        context,
        "Not published",
        element("p", "Nothing was published: " + refused.code().text() + ".")
            .with("role", "alert")
            .with("class", "error"),
        violations(refused.violations()),
        again);
  }

  static Html failed(ConsoleContext context, String message) {
    return signedInPage(context, "Not done", notice(message));
  }

  private static Html draftViolations(ConsoleContext context) {
    List<Violation> draftViolations = context.draftViolations();
    if (draftViolations.isEmpty()) {
      return element("div");
    }
    return element("section")
        .with("class", "error")
        .with("role", "alert")
        .add(
            element("p", "The draft does not fit the current configuration:"),
            violations(draftViolations));
  }

  private static Html violations(List<Violation> violations) {
    Html list = element("ul");
    violations.forEach(
        violation -> list.add(element("li", violation.pointer() + ": " + violation.message())));
    return list;
  }

  static Html notice(String text) {
    return text.isEmpty()
        ? element("div")
        : element("p", text).with("class", "error").with("role", "alert");
  }
}
