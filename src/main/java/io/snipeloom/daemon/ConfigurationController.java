package io.snipeloom.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import io.snipeloom.coordination.ConfigurationAuthority;
import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDiff;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationEntry;
import io.snipeloom.state.ConfigurationForm;
import io.snipeloom.state.ConfigurationJson;
import io.snipeloom.state.ConfigurationSection;
import io.snipeloom.state.Entry;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.HttpHost;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Serves, validates, compares and changes the configuration document. */
@Controller("/admin/v1/configuration")
@Requires(property = HttpHost.SURFACE, value = Administration.SURFACE)
@ExecuteOn(TaskExecutors.IO)
class ConfigurationController {
  private static final int MAX_DOCUMENT_ENTRIES = 20_000;
  private static final String DEFAULT_LIMIT = "100";
  private static final Duration CATCH_UP_RETRY_AFTER = Duration.ofSeconds(1);

  private final ConfigurationAuthority authority;

  ConfigurationController(Administration administration) {
    this.authority = administration.configuration();
  }

  @Get
  HttpResponse<byte[]> wholeDocument(
      @Nullable @Header(HttpHeaders.IF_NONE_MATCH) String ifNoneMatch) {
    ConfigurationDocument document = authority.current();
    String tag = AdminResponses.etag(document.offset());
    if (tag.equals(ifNoneMatch)) {
      return HttpResponse.<byte[]>notModified().header(HttpHeaders.ETAG, tag);
    }
    if (size(document) > MAX_DOCUMENT_ENTRIES) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST,
          "the document has more than %d entries; read it section by section"
              .formatted(MAX_DOCUMENT_ENTRIES));
    }
    return AdminResponses.json(ConfigurationJson.render(document)).header(HttpHeaders.ETAG, tag);
  }

  @Get("/{section}")
  HttpResponse<byte[]> section(
      String section,
      @QueryValue(defaultValue = "") String after,
      @QueryValue(defaultValue = DEFAULT_LIMIT) int limit) {
    ConfigurationDocument document = authority.current();
    int pageSize = AdminResponses.checkedPageSize(limit);
    List<? extends Entry<? extends ConfigurationEntry>> entries =
        document.page(parseSection(section), after, pageSize + 1);
    boolean isLast = entries.size() <= pageSize;
    List<? extends Entry<? extends ConfigurationEntry>> page =
        isLast ? entries : entries.subList(0, pageSize);
    String next = isLast ? null : page.get(page.size() - 1).value().entryId();
    return AdminResponses.json(new EntryPage(document.offset(), page, next))
        .header(HttpHeaders.ETAG, AdminResponses.etag(document.offset()));
  }

  @Post("/changes")
  CompletionStage<HttpResponse<byte[]>> change(
      HttpRequest<?> request,
      @Nullable @Header(HttpHeaders.IF_MATCH) String baseTag,
      @Body byte[] body) {
    ConfigurationChange change =
        ConfigurationJson.parseChange(body, OperatorFilter.operator(request));
    if (baseTag != null
        && AdminResponses.parseEtag(HttpHeaders.IF_MATCH, baseTag) != change.baseOffset()) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST, "If-Match and baseOffset refer to different configurations");
    }
    return authority.publish(change).thenApply(AdminResponses::publishResponse);
  }

  @Post
  CompletionStage<HttpResponse<byte[]>> replace(
      HttpRequest<?> request,
      @Nullable @Header(HttpHeaders.IF_MATCH) String baseTag,
      @Body byte[] body) {
    long base = AdminResponses.parseEtag(HttpHeaders.IF_MATCH, baseTag);
    ConfigurationForm form = ConfigurationJson.parseDocument(body);
    ConfigurationDocument current = authority.current();
    if (base > current.offset()) {
      throw SnipeloomException.of(
              ErrorCode.NOT_READY, "this instance has not applied offset %d yet".formatted(base))
          .withRetryAfter(CATCH_UP_RETRY_AFTER);
    }
    ConfigurationDiff diff = ConfigurationDiff.between(current, base, form);
    if (diff.edits().isEmpty()) {
      return CompletableFuture.completedFuture(
          AdminResponses.publishResponse(new PublishResult.Accepted(current.offset())));
    }
    return authority
        .publish(new ConfigurationChange(base, OperatorFilter.operator(request), diff.edits()))
        .thenApply(result -> AdminResponses.publishResponse(withDocumentPointers(diff, result)));
  }

  @Post("/validate")
  HttpResponse<byte[]> validate(HttpRequest<?> request, @Body byte[] body) {
    ConfigurationDocument current = authority.current();
    return AdminResponses.json(validatedDiff(current, OperatorFilter.operator(request), body));
  }

  @Post("/diff")
  HttpResponse<byte[]> diff(HttpRequest<?> request, @Body byte[] body) {
    ConfigurationDocument current = authority.current();
    return AdminResponses.json(validatedDiff(current, OperatorFilter.operator(request), body));
  }

  private static DiffBody validatedDiff(
      ConfigurationDocument current, String operator, byte[] body) {
    ConfigurationForm form = ConfigurationJson.parseDocument(body);
    ConfigurationDiff diff = ConfigurationDiff.between(current, current.offset(), form);
    diff.check(current, operator);
    return new DiffBody(current.offset(), diff.edits());
  }

  private static PublishResult withDocumentPointers(ConfigurationDiff diff, PublishResult result) {
    return result instanceof PublishResult.Refused refused
        ? new PublishResult.Refused(
            refused.code(), refused.message(), diff.withTargetPointers(refused.violations()))
        : result;
  }

  private static ConfigurationSection parseSection(String text) {
    try {
      return ConfigurationSection.parse(text);
    } catch (SnipeloomException e) {
      throw AdminResponses.notFound("section of this name").withCause(e);
    }
  }

  private static int size(ConfigurationDocument document) {
    return document.customers().size()
        + document.budgets().size()
        + document.topUps().size()
        + document.upstreams().size()
        + document.requestClasses().size();
  }
}
