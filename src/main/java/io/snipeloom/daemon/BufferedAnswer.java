package io.snipeloom.daemon;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import io.snipeloom.coordination.AnswerSink;
import io.snipeloom.protocol.Header;
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
final class BufferedAnswer implements AnswerSink {
  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final ChunkCollector collector;
  private Message.AnswerHead head;

  private BufferedAnswer(ChunkCollector collector) {
    this.collector = collector;
  }

  /**
   * Returns a sink that joins the bytes of a plain answer.
   *
   * @return the sink
   */
  static BufferedAnswer plain() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    return new BufferedAnswer(new ChunkCollector(bytes::writeBytes, end -> bytes.toByteArray()));
  }

  /**
   * Returns a sink that builds one chat completion.
   *
   * @return the sink
   */
  static BufferedAnswer chat() {
    ChatAssembler assembler = new ChatAssembler();
    return new BufferedAnswer(new ChunkCollector(assembler::add, assembler::build));
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
      collector.add().accept(data);
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
              .body(collector.build().apply(end));
      for (Header header : head.headers()) {
        whole.header(header.name(), header.value());
      }
      response.complete(whole);
    } catch (RuntimeException e) {
      response.completeExceptionally(e);
    }
  }

  @Override
  public void onError(SnipeloomException error) {
    response.completeExceptionally(error);
  }

  /** Takes chunks and makes a body of them. */
  private record ChunkCollector(Consumer<byte[]> add, Function<Message.AnswerEnd, byte[]> build) {}
}
