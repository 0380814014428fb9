package io.snipeloom.daemon;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.sse.Event;
import io.snipeloom.coordination.AnswerSink;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Forwards the answer to a request as server-sent events while it arrives.
 *
 * <p>If the status is not 200, the response of the back end is forwarded unchanged when it has
 * ended. An error before the event stream starts becomes an error response. A later one is sent as
 * an error event without the final {@code [DONE]}, so that a truncated answer cannot be taken for a
 * complete one. The methods of the sink must be called from one thread at a time.
 */
final class StreamedResponse implements AnswerSink {
  private static final String DONE = "[DONE]";
  private static final String USAGE_FIELD = "\"usage\":{";

  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final Sinks.Many<Chunk> chunks = Sinks.many().unicast().onBackpressureBuffer();
  private final boolean usageRequested;
  private final Function<SnipeloomException, String> errorJson;
  private volatile Runnable cancel = () -> {};
  private BufferedResponse errorResponse;

  /**
   * Creates a sink.
   *
   * @param usageRequested whether the caller asked for the usage event
   * @param errorJson renders an error as JSON
   */
  StreamedResponse(boolean usageRequested, Function<SnipeloomException, String> errorJson) {
    this.usageRequested = usageRequested;
    this.errorJson = errorJson;
  }

  /**
   * Sets the action to run when the caller closes the connection.
   *
   * @param newCancel cancels the request
   */
  void onCancel(Runnable newCancel) {
    cancel = newCancel;
  }

  /**
   * Returns the response.
   *
   * @return a future that completes when the event stream starts or an error response of the back
   *     end has ended, and fails if the request fails before that
   */
  CompletableFuture<HttpResponse<?>> response() {
    return response;
  }

  @Override
  public void onHead(Message.AnswerHead head) {
    if (head.status() == HttpStatus.OK.getCode()) {
      startStream();
    } else {
      errorResponse = BufferedResponse.plain();
      errorResponse.onHead(head);
    }
  }

  private void startStream() {
    Flux<Event<String>> events =
        chunks
            .asFlux()
            .doOnNext(chunk -> chunk.consumed().run())
            .doOnCancel(() -> cancel.run())
            .map(chunk -> Event.of(chunk.text()));
    response.complete(
        HttpResponse.ok(events)
            .contentType(MediaType.TEXT_EVENT_STREAM_TYPE)
            .header("Cache-Control", "no-cache"));
  }

  @Override
  public void onChunk(byte[] data, Runnable consumed) {
    if (errorResponse != null) {
      errorResponse.onChunk(data, consumed);
      return;
    }
    String text = new String(data, StandardCharsets.UTF_8);
    if (!usageRequested && text.contains(USAGE_FIELD) && text.contains("\"choices\":[]")) {
      consumed.run();
      return;
    }
    emit(text, consumed);
  }

  @Override
  public void onEnd(Message.AnswerEnd end) {
    if (errorResponse != null) {
      errorResponse.onEnd(end);
      response.complete(errorResponse.response().join());
      return;
    }
    emit(DONE, () -> {});
    chunks.tryEmitComplete();
  }

  @Override
  public void onError(SnipeloomException error) {
    if (response.completeExceptionally(error)) {
      return;
    }
    emit(errorJson.apply(error), () -> {});
    chunks.tryEmitComplete();
  }

  private void emit(String text, Runnable consumed) {
    Sinks.EmitResult unused = chunks.tryEmitNext(new Chunk(text, consumed));
  }

  /**
   * A chunk to be sent as one event.
   *
   * @param text the data of the event
   * @param consumed to be run when the chunk has been passed on
   */
  private record Chunk(String text, Runnable consumed) {}
}
