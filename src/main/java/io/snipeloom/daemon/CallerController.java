package io.snipeloom.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;
import io.snipeloom.coordination.CallerRequest;
import io.snipeloom.coordination.RequestRouter;
import io.snipeloom.transport.HttpHost;
import java.util.concurrent.CompletionStage;

/**
 * The HTTP API for callers: chat completions, the list of models, calls to plain services by route,
 * and request keys.
 *
 * <p>Thread-safe; no method blocks.
 */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = CallerController.SURFACE)
public class CallerController {
  /** The name of the HTTP host that serves this API. */
  public static final String SURFACE = "callers";

  private static final byte[] EMPTY_BODY = {};

  private final RequestRouter router;
  private final RequestReader reader;
  private final CallerQueries queries;

  CallerController(RequestRouter router, RequestReader reader, CallerQueries queries) {
    this.router = router;
    this.reader = reader;
    this.queries = queries;
  }

  /**
   * Handles a chat completions request.
   *
   * @return the completion, or an event stream if the request asks for one
   */
  @Post("/v1/chat/completions")
  public CompletionStage<HttpResponse<?>> chat(HttpRequest<byte[]> http) {
    reader.customer(http);
    byte[] bytes = http.getBody().orElse(EMPTY_BODY);
    ChatRequest chat = ChatRequest.parse(bytes);
    CallerRequest request = reader.readChat(http, chat, bytes);
    return chat.isStream() ? stream(request, chat.isUsageRequested()) : completion(request);
  }

  private CompletionStage<HttpResponse<?>> stream(CallerRequest request, boolean usageRequested) {
    StreamedResponse answer = new StreamedResponse(usageRequested, ErrorJson::of);
    answer.onCancel(router.submit(request, answer));
    return answer.response();
  }

  private CompletionStage<HttpResponse<?>> completion(CallerRequest request) {
    BufferedResponse answer = BufferedResponse.chat();
    router.submit(request, answer);
    return answer.response();
  }

  /**
   * Lists the models that the upstreams serve.
   *
   * @return the models in the format of the chat completions protocol
   */
  @Get(value = "/v1/models", produces = MediaType.APPLICATION_JSON)
  public ModelList models(HttpRequest<?> http) {
    reader.customer(http);
    return queries.models();
  }

  /** Issues a request key, for callers that cannot generate a version 7 UUID themselves. */
  @Post(value = "/v1/request-keys", produces = MediaType.APPLICATION_JSON)
  public IssuedKey issueKey(HttpRequest<?> http) {
    return queries.issueKey(reader.customer(http));
  }

  /**
   * Returns the recorded state of a non-idempotent call.
   *
   * @param key the request key of the call
   */
  @Get(value = "/v1/requests/{key}", produces = MediaType.APPLICATION_JSON)
  public CallStatusBody status(HttpRequest<?> http, String key) {
    return queries.status(reader.customer(http), key);
  }

  /** Forwards a GET request to a plain service and returns its response. */
  @Get("/{+path}")
  public CompletionStage<HttpResponse<?>> plainGet(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /** Forwards a POST request to a plain service and returns its response. */
  @Post("/{+path}")
  public CompletionStage<HttpResponse<?>> plainPost(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /** Forwards a PUT request to a plain service and returns its response. */
  @Put("/{+path}")
  public CompletionStage<HttpResponse<?>> plainPut(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /** Forwards a PATCH request to a plain service and returns its response. */
  @Patch("/{+path}")
  public CompletionStage<HttpResponse<?>> plainPatch(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /** Forwards a DELETE request to a plain service and returns its response. */
  @Delete("/{+path}")
  public CompletionStage<HttpResponse<?>> plainDelete(HttpRequest<byte[]> http) {
    return plain(http);
  }

  private CompletionStage<HttpResponse<?>> plain(HttpRequest<byte[]> http) {
    CallerRequest request = reader.readPlain(http, http.getBody().orElse(EMPTY_BODY));
    BufferedResponse answer = BufferedResponse.plain();
    router.submit(request, answer);
    return answer.response();
  }
}
