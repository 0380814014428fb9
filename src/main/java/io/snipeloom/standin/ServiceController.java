package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpMethod;
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
import io.snipeloom.transport.HttpHost;

/**
 * The HTTP interface of the plain service stand-in. It accepts any path; each call other than GET
 * has an effect.
 */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = ServiceController.SURFACE)
final class ServiceController {
  static final String SURFACE = "standin-service";

  private static final String ANY_PATH = "/{+path}";
  private static final String KEY_HEADER = "Idempotency-Key";

  private final ServiceName name;
  private final Effects effects;

  ServiceController(ServiceName name, Effects effects) {
    this.name = name;
    this.effects = effects;
  }

  @Get(ANY_PATH)
  HttpResponse<byte[]> get(HttpRequest<byte[]> request, String path) {
    return call(request);
  }

  @Post(ANY_PATH)
  HttpResponse<byte[]> post(HttpRequest<byte[]> request, String path) {
    return call(request);
  }

  @Put(ANY_PATH)
  HttpResponse<byte[]> put(HttpRequest<byte[]> request, String path) {
    return call(request);
  }

  @Patch(ANY_PATH)
  HttpResponse<byte[]> patch(HttpRequest<byte[]> request, String path) {
    return call(request);
  }

  @Delete(ANY_PATH)
  HttpResponse<byte[]> delete(HttpRequest<byte[]> request, String path) {
    return call(request);
  }

  private HttpResponse<byte[]> call(HttpRequest<byte[]> request) {
    String key = request.getHeaders().get(KEY_HEADER, String.class, "");
    boolean hasEffect = request.getMethod() != HttpMethod.GET;
    byte[] body = request.getBody().orElse(new byte[0]);
    long effect = hasEffect ? effects.add(key, body) : 0;
    ServiceReply reply =
        new ServiceReply(name.value(), request.getMethodName(), request.getPath(), effect, key);
    return HttpResponse.ok(StandinJson.write(reply)).contentType(MediaType.APPLICATION_JSON_TYPE);
  }
}
