package io.snipeloom.standin;

import io.micronaut.http.sse.Event;
import java.net.SocketAddress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Connects the requests of an engine to reactive answers; a cancelled answer stops its request. */
final class ChatAnswers {
  private static final String DONE = "[DONE]";

  private final BatchEngine engine;
  private final Connections connections;

  ChatAnswers(BatchEngine engine, Connections connections) {
    this.engine = engine;
    this.connections = connections;
  }

  /** Returns a stream of server-sent events from a token on. */
  Flux<Event<String>> stream(Generation generation, ChatWriter writer, int from) {
    return Flux.create(
        sink -> {
          sink.onCancel(() -> engine.suspend(generation));
          for (int i = from; i < generation.generated(); i++) {
            sink.next(Event.of(writer.token(i, generation.token(i))));
          }
          engine.start(generation, new StreamListener(generation, writer, from, sink));
        });
  }

  /**
   * Returns a single answer.
   *
   * <p>The server does not cancel a single answer when its client goes away, so the connection is
   * watched.
   */
  Mono<byte[]> whole(Generation generation, ChatWriter writer, SocketAddress client) {
    Runnable suspend = () -> engine.suspend(generation);
    return Mono.create(
        sink -> {
          sink.onDispose(() -> connections.forget(client, suspend));
          engine.start(generation, new WholeListener(writer, new StringBuilder(), sink));
          connections.onClose(client, suspend);
        });
  }

  private record StreamListener(
      Generation generation, ChatWriter writer, int from, FluxSink<Event<String>> sink)
      implements TokenListener {

    @Override
    public void token(int index, String text) {
      if (index >= from) {
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

  private record WholeListener(ChatWriter writer, StringBuilder text, MonoSink<byte[]> sink)
      implements TokenListener {

    @Override
    public void token(int index, String token) {
      text.append(token);
    }

    @Override
    public void end(FinishReason reason, int outputTokens) {
      sink.success(writer.whole(text.toString(), reason, outputTokens));
    }
  }
}
