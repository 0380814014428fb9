package io.snipeloom.daemon;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.snipeloom.coordination.AnswerSink;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Collects an answer and hands it over when it is whole.
 *
 * <p>Calls come from one thread at a time.
 */
final class BufferedResponse implements AnswerSink {
  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final ChunkCollector collector;
  private final boolean completion;
  private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
  private Message.AnswerHead head;

  private BufferedResponse(ChunkCollector collector, boolean completion) {
    this.collector = collector;
    this.completion = completion;
  }

  /**
   * Returns a sink that joins the bytes of a plain answer.
   *
   * @return the sink
   */
  static BufferedResponse plain() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    return new BufferedResponse(
        new ChunkCollector(bytes::writeBytes, end -> bytes.toByteArray()), false);
  }

  /**
   * Returns a sink that builds one chat completion.
   *
   * @return the sink
   */
  static BufferedResponse chat() {
    ChatAssembler assembler = new ChatAssembler();
    return new BufferedResponse(new ChunkCollector(assembler::add, assembler::build), true);
  }

  /**
   * Returns the response.
   *
   * @return completes when the answer is whole, and fails with its final error
   */
  CompletableFuture<HttpResponse<?>> response() {
    return response;
  }

  @Override
  public void onHead(Message.AnswerHead newHead) {
    head = newHead;
  }

  @Override
  public void onChunk(byte[] data, Runnable consumed) {
    try {
      if (isRefusal()) {
        refusal.writeBytes(data);
      } else {
        collector.add().accept(data);
      }
      consumed.run();
    } catch (SnipeloomException e) {
      response.completeExceptionally(e);
    }
  }

  @Override
  public void onEnd(Message.AnswerEnd end) {
    try {
      MutableHttpResponse<byte[]> whole =
          HttpResponse.<byte[]>status(HttpStatus.valueOf(head.status()))
              .body(isRefusal() ? refusal.toByteArray() : collector.build().apply(end));
      if (completion && !isRefusal()) {
        whole.contentType(MediaType.APPLICATION_JSON_TYPE);
      } else {
        head.headers().forEach(header -> whole.header(header.name(), header.value()));
      }
      response.complete(whole);
    } catch (RuntimeException e) {
      response.completeExceptionally(e);
    }
  }

  /** Returns whether the back end gave a completion another status, with a body of its own. */
  private boolean isRefusal() {
    return completion && head.status() != HttpStatus.OK.getCode();
  }

  @Override
  public void onError(SnipeloomException error) {
    response.completeExceptionally(error);
  }

  /** Takes chunks and makes a body of them. */
  private record ChunkCollector(Consumer<byte[]> add, Function<Message.AnswerEnd, byte[]> build) {}
}
