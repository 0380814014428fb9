package io.snipeloom.standin;

import io.micronaut.http.sse.Event;
import java.net.SocketAddress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Publishes the tokens of an engine as reactive responses; cancelling a response suspends its
 * request.
 */
final class ChatAnswers {
  private static final String DONE = "[DONE]";

  private final BatchEngine engine;
  private final Connections connections;

  ChatAnswers(BatchEngine engine, Connections connections) {
    this.engine = engine;
    this.connections = connections;
  }

  /** Returns a stream of server-sent events that starts at a token index. */
  Flux<Event<String>> stream(Generation generation, ChatWriter writer, int firstToken) {
    return Flux.create(
        sink -> {
          sink.onCancel(() -> engine.suspend(generation));
          for (int i = firstToken; i < generation.generated(); i++) {
            sink.next(Event.of(writer.token(i, generation.token(i))));
          }
          engine.enqueue(generation, new StreamListener(generation, writer, firstToken, sink));
        });
  }

  /**
   * Returns the whole answer as a single response body.
   *
   * <p>The server does not cancel a non-streamed response when its client disconnects, so a close
   * action on the connection suspends the request.
   */
  Mono<byte[]> completion(Generation generation, ChatWriter writer, SocketAddress client) {
    Runnable suspend = () -> engine.suspend(generation);
    return Mono.create(
        sink -> {
          sink.onDispose(() -> connections.removeCloseAction(client, suspend));
          engine.enqueue(generation, new CompletionListener(writer, new StringBuilder(), sink));
          connections.onClose(client, suspend);
        });
  }

  private record StreamListener(
      Generation generation, ChatWriter writer, int firstToken, FluxSink<Event<String>> sink)
      implements TokenListener {

    @Override
    public void token(int index, String text) {
      if (index >= firstToken) {
        sink.next(Event.of(writer.token(index, text)));
      }
    }

    @Override
    public void end(FinishReason reason, int outputTokens) {
      sink.next(Event.of(writer.finish(reason)));
      if (generation.request().includeUsage()) {
        sink.next(Event.of(writer.usage(outputTokens)));
      }
      sink.next(Event.of(DONE));
      sink.complete();
    }
  }

  private record CompletionListener(ChatWriter writer, StringBuilder text, MonoSink<byte[]> sink)
      implements TokenListener {

    @Override
    public void token(int index, String token) {
      text.append(token);
    }

    @Override
    public void end(FinishReason reason, int outputTokens) {
      sink.success(writer.completion(text.toString(), reason, outputTokens));
    }
  }
}
