package io.snipeloom.daemon;

import com.google.common.flogger.FluentLogger;
import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import io.snipeloom.state.ConfigurationEdit;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import io.snipeloom.transport.HttpHost;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Serves the console, where operators edit the configuration in forms and publish all edits as one
 * configuration change.
 */
@Controller("/console")
@Requires(property = HttpHost.SURFACE, value = Administration.SURFACE)
@Requires(beans = ConsoleSecurity.class)
@ExecuteOn(TaskExecutors.IO)
@Consumes(MediaType.APPLICATION_FORM_URLENCODED)
class ConsoleController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Administration administration;
  private final ConsoleRequestHandler handler;

  ConsoleController(Administration administration, ConsoleSecurity security) {
    this.administration = administration;
    this.handler = new ConsoleRequestHandler(administration, security);
  }

  @Get
  HttpResponse<String> start(HttpRequest<?> request) {
    return list(request, SectionForm.CUSTOMERS.section().text());
  }

  @Get("/{section}")
  HttpResponse<String> list(HttpRequest<?> request, String section) {
    SectionForm form = SectionForm.of(section);
    return handler.read(request, context -> ConsolePages.list(context, form, "", ""));
  }

  @Post("/{section}")
  HttpResponse<String> list(HttpRequest<?> request, String section, @Nullable @Body String body) {
    SectionForm form = SectionForm.of(section);
    return handler.submit(
        request,
        body,
        (context, values) ->
            handler.pageResponse(
                context, ConsolePages.list(context, form, values.text(ConsolePages.AFTER), "")));
  }

  @Post("/{section}/edit")
  HttpResponse<String> edit(HttpRequest<?> request, String section, @Nullable @Body String body) {
    SectionForm form = SectionForm.of(section);
    return handler.submit(
        request,
        body,
        (context, values) -> handler.pageResponse(context, editPage(context, form, values)));
  }

  private static Html editPage(ConsoleContext context, SectionForm form, FormValues values) {
    String entryId = values.text(ConsolePages.ENTRY);
    FormValues shown =
        context
            .documentWithDraft()
            .entry(form.section(), entryId)
            .map(entry -> form.valuesOf(entry.value()))
            .orElse(FormValues.empty());
    boolean isNew = shown == FormValues.empty();
    return EntryFormPage.of(form, isNew ? "" : entryId, shown).render(context);
  }

  @Post("/{section}/save")
  HttpResponse<String> save(HttpRequest<?> request, String section, @Nullable @Body String body) {
    SectionForm form = SectionForm.of(section);
    return handler.submit(request, body, (context, values) -> save(context, form, values));
  }

  private HttpResponse<String> save(ConsoleContext context, SectionForm form, FormValues values) {
    String entryId = values.text(ConsolePages.ENTRY);
    EntryFormPage page = EntryFormPage.of(form, entryId, values);
    try {
      ConfigurationEdit edit = form.edit(values, context.operator());
      checkIdentifier(context, form, entryId, edit);
      Draft draft = context.draft().with(edit);
      int index = draft.indexOf(edit.section(), edit.entryId());
      check(context.with(draft), edit.pointer(index));
      return handler.pageResponse(
          context.with(draft), ConsolePages.list(context.with(draft), form, "", ""));
    } catch (SnipeloomException e) {
      List<Violation> entryViolations = ConsoleErrors.relativeToEntry(e);
      return handler
          .pageResponse(context, page.with(entryViolations).render(context))
          .status(ErrorCode.INVALID_CONFIGURATION.httpStatus());
    }
  }

  private static void checkIdentifier(
      ConsoleContext context, SectionForm form, String entryId, ConfigurationEdit edit) {
    boolean isNew = entryId.isEmpty();
    if (isNew && context.documentWithDraft().entry(form.section(), edit.entryId()).isPresent()) {
      throw ConsoleErrors.invalid("/edits/0/entry/id", "there is such an entry already");
    }
    if (!isNew && !entryId.equals(edit.entryId())) {
      throw ConsoleErrors.invalid("/edits/0/entry/id", "cannot change");
    }
  }

  /**
   * Checks the draft against the current document. If it is invalid, the pointers of the exception
   * are relative to the edit at the given pointer where they lie within that edit; other pointers
   * are marked so that they match no field of its form.
   */
  private static void check(ConsoleContext context, String pointer) {
    try {
      context.draft().preview(context.current(), context.operator());
    } catch (SnipeloomException e) {
      throw ConsoleErrors.relativeTo(pointer, e);
    }
  }

  @Post("/{section}/remove")
  HttpResponse<String> remove(HttpRequest<?> request, String section, @Nullable @Body String body) {
    SectionForm form = SectionForm.of(section);
    return handler.submit(request, body, (context, values) -> remove(context, form, values));
  }

  private HttpResponse<String> remove(ConsoleContext context, SectionForm form, FormValues values) {
    Draft draft =
        context.draft().without(context.current(), form.section(), values.text(ConsolePages.ENTRY));
    try {
      draft.preview(context.current(), context.operator());
      return handler.pageResponse(
          context.with(draft), ConsolePages.list(context.with(draft), form, "", ""));
    } catch (SnipeloomException e) {
      return handler
          .pageResponse(context, ConsolePages.list(context, form, "", ConsoleErrors.summary(e)))
          .status(ErrorCode.INVALID_CONFIGURATION.httpStatus());
    }
  }

  @Post("/customers/key")
  HttpResponse<String> createKey(HttpRequest<?> request, @Nullable @Body String body) {
    return handler.submit(
        request,
        body,
        (context, values) -> {
          String secret = handler.security().newApiKey();
          String hashes = values.text("apiKeyHashes") + "\n" + OperatorTokens.hash(secret);
          EntryFormPage page =
              new EntryFormPage(
                  SectionForm.CUSTOMERS,
                  values.text(ConsolePages.ENTRY),
                  values.with("apiKeyHashes", hashes.strip()),
                  List.of(),
                  secret);
          return handler.pageResponse(context, page.render(context));
        });
  }

  @Post("/review")
  HttpResponse<String> review(HttpRequest<?> request, @Nullable @Body String body) {
    return handler.submit(
        request,
        body,
        (context, values) -> handler.pageResponse(context, ConsolePages.review(context)));
  }

  @Post("/rebase")
  HttpResponse<String> rebase(HttpRequest<?> request, @Nullable @Body String body) {
    return handler.submit(
        request,
        body,
        (context, values) -> {
          ConsoleContext rebased = context.with(context.draft().rebasedOn(context.current()));
          return handler.pageResponse(rebased, ConsolePages.review(rebased));
        });
  }

  @Post("/discard")
  HttpResponse<String> discard(HttpRequest<?> request, @Nullable @Body String body) {
    return handler.submit(
        request,
        body,
        (context, values) -> {
          ConsoleContext fresh = context.with(Draft.startingAt(context.current().offset()));
          return handler.pageResponse(fresh, ConsolePages.review(fresh));
        });
  }

  @Post("/publish")
  CompletionStage<HttpResponse<String>> publish(
      HttpRequest<?> request, @Nullable @Body String body) {
    return handler.submitAsync(request, body, (context, values) -> publish(context));
  }

  private CompletionStage<HttpResponse<String>> publish(ConsoleContext context) {
    return administration
        .configuration()
        .publish(context.draft().toChange(context.operator()))
        .handle((result, failure) -> outcome(context, result, failure));
  }

  private HttpResponse<String> outcome(
      ConsoleContext context, PublishResult result, Throwable failure) {
    if (failure != null) {
      logger.atWarning().withCause(failure).log(
          "event=publish.open operator=%s", context.operator());
      return handler
          .pageResponse(
              context,
              ConsolePages.failed(
                  context,
                  "The log did not answer, so the change may or may not be published. Review the"
                      + " draft again in a while."))
          .status(ErrorCode.LOG_UNAVAILABLE.httpStatus());
    }
    if (result instanceof PublishResult.Refused refused) {
      return handler
          .pageResponse(context, ConsolePages.refused(context, refused))
          .status(refused.code().httpStatus());
    }
    long offset = ((PublishResult.Accepted) result).offset();
    ConsoleContext fresh = context.with(Draft.startingAt(offset));
    return handler.pageResponse(fresh, ConsolePages.published(fresh, offset));
  }
}
