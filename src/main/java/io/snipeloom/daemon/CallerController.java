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
 * The surface for callers: chat completions, the list of models, plain calls by route, and request
 * keys.
 *
 * <p>Thread-safe; no method blocks.
 */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = CallerController.SURFACE)
public class CallerController {
  /** The name of the surface. */
  public static final String SURFACE = "callers";

  private static final byte[] NO_BODY = {};

  private final RequestRouter router;
  private final RequestReader reader;
  private final CallerDirectory directory;

  CallerController(RequestRouter router, RequestReader reader, CallerDirectory directory) {
    this.router = router;
    this.reader = reader;
    this.directory = directory;
  }

  /**
   * Answers a chat completions request.
   *
   * @param http the HTTP request
   * @return the completion, or its stream of events
   */
  @Post("/v1/chat/completions")
  public CompletionStage<HttpResponse<?>> chat(HttpRequest<byte[]> http) {
    reader.customer(http);
    byte[] bytes = http.getBody().orElse(NO_BODY);
    ChatRequest chat = ChatRequest.parse(bytes);
    CallerRequest request = reader.readChat(http, chat, bytes);
    return chat.isStream() ? stream(request, chat.isUsageWanted()) : whole(request);
  }

  private CompletionStage<HttpResponse<?>> stream(CallerRequest request, boolean usageWanted) {
    StreamedResponse answer = new StreamedResponse(usageWanted, ErrorJson::of);
    answer.onCancel(router.submit(request, answer));
    return answer.response();
  }

  private CompletionStage<HttpResponse<?>> whole(CallerRequest request) {
    BufferedResponse answer = BufferedResponse.chat();
    router.submit(request, answer);
    return answer.response();
  }

  /**
   * Lists the models.
   *
   * @param http the HTTP request
   * @return the models in the form of the chat completions protocol
   */
  @Get(value = "/v1/models", produces = MediaType.APPLICATION_JSON)
  public ModelList models(HttpRequest<?> http) {
    reader.customer(http);
    return directory.models();
  }

  /**
   * Issues a request key, for callers that cannot make a version 7 UUID themselves.
   *
   * @param http the HTTP request
   * @return the key
   */
  @Post(value = "/v1/request-keys", produces = MediaType.APPLICATION_JSON)
  public IssuedKey issueKey(HttpRequest<?> http) {
    return directory.issueKey(reader.customer(http));
  }

  /**
   * Tells what is recorded of a call that may not be repeated.
   *
   * @param http the HTTP request
   * @param key the request key
   * @return the status
   */
  @Get(value = "/v1/requests/{key}", produces = MediaType.APPLICATION_JSON)
  public CallStatusBody status(HttpRequest<?> http, String key) {
    return directory.status(reader.customer(http), key);
  }

  /**
   * Makes a plain call without a body.
   *
   * @param http the HTTP request
   * @return the answer of the back end
   */
  @Get("/{+path}")
  public CompletionStage<HttpResponse<?>> plainGet(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /**
   * Makes a plain call.
   *
   * @param http the HTTP request
   * @return the answer of the back end
   */
  @Post("/{+path}")
  public CompletionStage<HttpResponse<?>> plainPost(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /**
   * Makes a plain call.
   *
   * @param http the HTTP request
   * @return the answer of the back end
   */
  @Put("/{+path}")
  public CompletionStage<HttpResponse<?>> plainPut(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /**
   * Makes a plain call.
   *
   * @param http the HTTP request
   * @return the answer of the back end
   */
  @Patch("/{+path}")
  public CompletionStage<HttpResponse<?>> plainPatch(HttpRequest<byte[]> http) {
    return plain(http);
  }

  /**
   * Makes a plain call.
   *
   * @param http the HTTP request
   * @return the answer of the back end
   */
  @Delete("/{+path}")
  public CompletionStage<HttpResponse<?>> plainDelete(HttpRequest<byte[]> http) {
    return plain(http);
  }

  private CompletionStage<HttpResponse<?>> plain(HttpRequest<byte[]> http) {
    CallerRequest request = reader.readPlain(http, http.getBody().orElse(NO_BODY));
    BufferedResponse answer = BufferedResponse.plain();
    router.submit(request, answer);
    return answer.response();
  }
}
