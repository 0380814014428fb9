package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.QueryValue;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.HttpHost;
import reactor.core.publisher.Mono;

/**
 * The HTTP interface of the weight store stand-in. Every name denotes a file, and all files have
 * the same size.
 */
@Controller
@Requires(property = HttpHost.SURFACE, value = WeightsController.SURFACE)
final class WeightsController {
  static final String SURFACE = "standin-weights";

  private static final int MAX_RANGE_BYTES = 1 << 20;

  private final WeightFiles files;
  private final RateLimit rateLimit;

  WeightsController(WeightFiles files, RateLimit rateLimit) {
    this.files = files;
    this.rateLimit = rateLimit;
  }

  @Get("/weights/{name}")
  @Produces(MediaType.APPLICATION_OCTET_STREAM)
  Mono<byte[]> fetch(String name, @QueryValue long from, @QueryValue int length) {
    if (from < 0 || length < 1 || length > MAX_RANGE_BYTES) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST,
          "from must not be negative and length must be between 1 and " + MAX_RANGE_BYTES);
    }
    byte[] data = files.range(name, from, length);
    return Mono.just(data).delayElement(rateLimit.reserve(data.length));
  }
}
