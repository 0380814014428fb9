package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Filter;
import io.micronaut.http.filter.HttpServerFilter;
import io.micronaut.http.filter.ServerFilterChain;
import io.snipeloom.transport.HttpHost;
import java.time.Duration;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;

/** Delays the requests and responses of a stand-in and drops responses to writes. */
@Filter(Filter.MATCH_ALL_PATTERN)
@Requires(property = HttpHost.SURFACE, pattern = StandinServer.SURFACE_PATTERN)
final class FaultFilter implements HttpServerFilter {
  private final FaultControl control;

  FaultFilter(FaultControl control) {
    this.control = control;
  }

  @Override
  public Publisher<MutableHttpResponse<?>> doFilter(
      HttpRequest<?> request, ServerFilterChain chain) {
    Faults faults = control.faults();
    Mono<MutableHttpResponse<?>> result = Mono.from(chain.proceed(request));
    if (isWrite(request)) {
      result = result.flatMap(response -> dropOrForward(request, response));
    }
    if (faults.answerDelayMillis() > 0) {
      result = result.delayElement(Duration.ofMillis(faults.answerDelayMillis()));
    }
    if (faults.delayMillis() > 0) {
      return Mono.delay(Duration.ofMillis(faults.delayMillis())).then(result);
    }
    return result;
  }

  private Mono<MutableHttpResponse<?>> dropOrForward(
      HttpRequest<?> request, MutableHttpResponse<?> response) {
    if (!control.shouldDropResponse()) {
      return Mono.just(response);
    }
    control.connections().close(request.getRemoteAddress());
    return Mono.never();
  }

  private static boolean isWrite(HttpRequest<?> request) {
    return request.getMethod() != HttpMethod.GET && request.getMethod() != HttpMethod.HEAD;
  }
}
