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
 * Passes an answer on as server-sent events while it arrives.
 *
 * <p>An answer whose status is not 200 is passed on whole, as the back end gave it. A failure
 * before the first event becomes an error response; a later one becomes an error event without the
 * closing {@code [DONE]}, so that a cut answer never looks whole. Calls come from one thread at a
 * time.
 */
final class StreamedResponse implements AnswerSink {
  private static final String DONE = "[DONE]";
  private static final String USAGE_MARK = "\"usage\":{";

  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final Sinks.Many<Chunk> chunks = Sinks.many().unicast().onBackpressureBuffer();
  private final boolean usageWanted;
  private final Function<SnipeloomException, String> errorJson;
  private volatile Runnable cancel = () -> {};
  private BufferedResponse refusal;

  /**
   * Creates a sink.
   *
   * @param usageWanted whether the caller asked for the usage event
   * @param errorJson renders an error
   */
  StreamedResponse(boolean usageWanted, Function<SnipeloomException, String> errorJson) {
    this.usageWanted = usageWanted;
    this.errorJson = errorJson;
  }

  /**
   * Sets what to do when the caller goes away.
   *
   * @param newCancel cancels the request
   */
  void onCancel(Runnable newCancel) {
    cancel = newCancel;
  }

  /**
   * Returns the response.
   *
   * @return completes with the first event, and fails with an error before it
   */
  CompletableFuture<HttpResponse<?>> response() {
    return response;
  }

  @Override
  public void onHead(Message.AnswerHead head) {
    if (head.status() == HttpStatus.OK.getCode()) {
      open();
    } else {
      refusal = BufferedResponse.plain();
      refusal.onHead(head);
    }
  }

  private void open() {
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
    if (refusal != null) {
      refusal.onChunk(data, consumed);
      return;
    }
    String text = new String(data, StandardCharsets.UTF_8);
    if (!usageWanted && text.contains(USAGE_MARK) && text.contains("\"choices\":[]")) {
      consumed.run();
      return;
    }
    emit(text, consumed);
  }

  @Override
  public void onEnd(Message.AnswerEnd end) {
    if (refusal != null) {
      refusal.onEnd(end);
      response.complete(refusal.response().join());
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

  /** A chunk and what to run when it was passed on. */
  private record Chunk(String text, Runnable consumed) {}
}
