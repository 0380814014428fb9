package io.snipeloom.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.snipeloom.client.AppendRequest;
import io.snipeloom.client.AppendResponse;
import io.snipeloom.transport.HttpHost;
import java.util.concurrent.CompletableFuture;

/** The HTTP interface of the log stand-in. */
@Controller("/streams/{name}/records")
@Consumes(MediaType.ALL)
@Requires(property = HttpHost.SURFACE, value = LogController.SURFACE)
final class LogController {
  static final String SURFACE = "standin-log";

  private final LogStreams streams;
  private final FaultControl control;

  LogController(LogStreams streams, FaultControl control) {
    this.streams = streams;
    this.control = control;
  }

  @Post
  byte[] append(String name, @Body byte[] body) {
    AppendRequest request = StandinJson.read(body, AppendRequest.class);
    long offset = streams.append(name, request.data(), control.faults().retain());
    return StandinJson.write(new AppendResponse(offset));
  }

  @Get
  CompletableFuture<byte[]> read(
      String name,
      @QueryValue(defaultValue = "0") long from,
      @QueryValue(defaultValue = "1000") int limit,
      @QueryValue(defaultValue = "0") long waitMillis) {
    return streams
        .read(name, from, limit, waitMillis, control.faults().retain())
        .thenApply(StandinJson::write);
  }
}
