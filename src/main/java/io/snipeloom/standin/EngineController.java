package io.snipeloom.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.QueryValue;
import io.snipeloom.client.OrderRequest;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.HttpHost;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Mono;

/** The HTTP interface of the engine stand-in. */
@Controller
@Consumes(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = EngineController.SURFACE)
final class EngineController {
  static final String SURFACE = "standin-engine";

  private final EngineComponents components;
  private final FaultControl control;
  private final ChatAnswers answers;
  private final InstantSource clock = InstantSource.system();

  EngineController(EngineComponents components, FaultControl control) {
    this.components = components;
    this.control = control;
    this.answers = new ChatAnswers(components.engine(), control.connections());
  }

  @Post("/v1/chat/completions")
  @Produces({MediaType.APPLICATION_JSON, MediaType.TEXT_EVENT_STREAM})
  Mono<MutableHttpResponse<?>> complete(
      HttpRequest<?> http,
      @Header(name = "X-Request-Id", defaultValue = "") String id,
      @Body byte[] body) {
    ChatRequest request = ChatRequest.parse(body);
    if (!components.orders().models().contains(request.model())) {
      throw SnipeloomException.of(ErrorCode.NOT_FOUND, "no model " + request.model());
    }
    Generation generation = components.engine().create(id, request);
    if (request.stream()) {
      return Mono.just(stream(generation, 0));
    }
    return answers
        .completion(generation, writer(generation), http.getRemoteAddress())
        .map(EngineController::json);
  }

  @Post("/v1/requests/{id}/resume")
  @Produces({MediaType.APPLICATION_JSON, MediaType.TEXT_EVENT_STREAM})
  MutableHttpResponse<?> resume(String id, @QueryValue(defaultValue = "0") int from) {
    Generation generation = components.engine().resumable(id);
    if (from < 0 || from > generation.generated()) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST, "from must be between 0 and " + generation.generated());
    }
    return stream(generation, from);
  }

  @Post("/cancel/{id}")
  void cancel(String id) {
    components.engine().cancel(id);
  }

  @Get("/v1/models")
  byte[] models() {
    List<Model> models = new ArrayList<>();
    for (String name : components.orders().models()) {
      models.add(new Model(name, "model", 0, "standin"));
    }
    return StandinJson.write(new Models("list", models));
  }

  @Get("/health")
  byte[] health() {
    return StandinJson.write(new Health("ok"));
  }

  @Get("/load")
  byte[] load() {
    return StandinJson.write(components.report(control.faults().lagMillis()));
  }

  @Get("/cache/events")
  byte[] cacheEvents(@QueryValue(defaultValue = "0") long from) {
    Faults faults = control.faults();
    return StandinJson.write(components.cache().page(from, faults.lagMillis(), faults.gapEvery()));
  }

  @Post("/orders")
  byte[] order(@Body byte[] body) {
    OrderRequest order = StandinJson.read(body, OrderRequest.class);
    components.orders().apply(order);
    return StandinJson.write(order);
  }

  @Get("/orders")
  byte[] orders() {
    return StandinJson.write(components.orders().applied());
  }

  @Get("/kv/export")
  byte[] exportCache() {
    return StandinJson.write(new CacheContent(components.cache().hashes()));
  }

  @Post("/kv/import")
  void importCache(@Body byte[] body) {
    JsonNode hashes = StandinJson.read(body, JsonNode.class).path("hashes");
    if (!hashes.isArray()) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "/hashes must be a list");
    }
    List<String> added = new ArrayList<>();
    hashes.forEach(hash -> added.add(hash.asText()));
    components.cache().add(added);
  }

  @Get("/counts")
  byte[] counts() {
    return StandinJson.write(components.engine().counts());
  }

  private MutableHttpResponse<?> stream(Generation generation, int from) {
    return HttpResponse.ok(answers.stream(generation, writer(generation), from))
        .contentType(MediaType.TEXT_EVENT_STREAM_TYPE);
  }

  private ChatWriter writer(Generation generation) {
    return new ChatWriter(generation, clock.instant().getEpochSecond());
  }

  private static MutableHttpResponse<?> json(byte[] body) {
    return HttpResponse.ok(body).contentType(MediaType.APPLICATION_JSON_TYPE);
  }

  private record Models(String object, List<Model> data) {}

  private record Model(
      String id, String object, long created, @JsonProperty("owned_by") String ownedBy) {}

  private record Health(String status) {}

  private record CacheContent(List<String> hashes) {}
}
