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
 * Collects the answer to a request and completes the HTTP response when the answer has ended.
 *
 * <p>Not thread-safe; the methods must be called from one thread at a time.
 */
final class BufferedResponse implements AnswerSink {
  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final ChunkCollector collector;
  private final boolean chat;
  private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
  private Message.AnswerHead head;

  private BufferedResponse(ChunkCollector collector, boolean chat) {
    this.collector = collector;
    this.chat = chat;
  }

  /** Returns a sink that joins the chunks of a response body without changing them. */
  static BufferedResponse plain() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    return new BufferedResponse(
        new ChunkCollector(bytes::writeBytes, end -> bytes.toByteArray()), false);
  }

  /** Returns a sink that joins the chunks of an event stream into one chat completion. */
  static BufferedResponse chat() {
    ChatAssembler assembler = new ChatAssembler();
    return new BufferedResponse(new ChunkCollector(assembler::add, assembler::build), true);
  }

  /**
   * Returns the response.
   *
   * @return a future that completes when the answer has ended, and fails if the request fails
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
      if (isChatError()) {
        errorBody.writeBytes(data);
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
      MutableHttpResponse<byte[]> complete =
          HttpResponse.<byte[]>status(HttpStatus.valueOf(head.status()))
              .body(isChatError() ? errorBody.toByteArray() : collector.build().apply(end));
      if (chat && !isChatError()) {
        complete.contentType(MediaType.APPLICATION_JSON_TYPE);
      } else {
        head.headers().forEach(header -> complete.header(header.name(), header.value()));
      }
      response.complete(complete);
    } catch (RuntimeException e) {
      response.completeExceptionally(e);
    }
  }

  /** Returns whether a chat completion failed with a status and body set by the back end. */
  private boolean isChatError() {
    return chat && head.status() != HttpStatus.OK.getCode();
  }

  @Override
  public void onError(SnipeloomException error) {
    response.completeExceptionally(error);
  }

  /**
   * Collects chunks and builds a body from them.
   *
   * @param add adds a chunk
   * @param build returns the body, given the end of the answer
   */
  private record ChunkCollector(Consumer<byte[]> add, Function<Message.AnswerEnd, byte[]> build) {}
}
