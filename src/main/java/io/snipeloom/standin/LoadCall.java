package io.snipeloom.standin;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.core.io.buffer.ReferenceCounted;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.sse.Event;
import java.util.function.LongSupplier;
import reactor.core.publisher.BaseSubscriber;

/** Measures one request of a load run. */
final class LoadCall extends BaseSubscriber<Event<ByteBuffer<?>>> {
  private final LoadAnswer answer;
  private final LoadResults results;
  private final LongSupplier nanos;
  private final Runnable next;
  private final long startedAt;

  private long lastTokenAt;
  private boolean ended;

  LoadCall(LoadAnswer answer, LoadResults results, LongSupplier nanos, Runnable next) {
    this.answer = answer;
    this.results = results;
    this.nanos = nanos;
    this.next = next;
    this.startedAt = nanos.getAsLong();
  }

  @Override
  protected void hookOnNext(Event<ByteBuffer<?>> event) {
    byte[] data = bytes(event.getData());
    if (data.length == 0 || !answer.addEvent(data)) {
      return;
    }
    long now = nanos.getAsLong();
    if (lastTokenAt == 0) {
      results.firstToken(now - startedAt);
    } else {
      results.betweenTokens(now - lastTokenAt);
    }
    lastTokenAt = now;
  }

  @Override
  protected void hookOnComplete() {
    end();
  }

  @Override
  protected void hookOnError(Throwable error) {
    if (!ended) {
      ended = true;
      results.error(codeOf(error));
      next.run();
    }
  }

  /** Takes an answer that is not streamed. */
  void whole(byte[] body) {
    answer.addWhole(body);
    results.firstToken(nanos.getAsLong() - startedAt);
    end();
  }

  /** Takes the error of an answer that is not streamed. */
  void failed(Throwable error) {
    hookOnError(error);
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    if (answer.isWhole()) {
      results.answer(answer.outputTokens());
    } else {
      results.error("answer.not.whole");
    }
    next.run();
  }

  private static String codeOf(Throwable error) {
    if (error instanceof HttpClientResponseException refusal) {
      return "status." + refusal.getStatus().getCode();
    }
    return error.getClass().getSimpleName();
  }

  private static byte[] bytes(ByteBuffer<?> buffer) {
    byte[] data = buffer.toByteArray();
    if (buffer instanceof ReferenceCounted counted) {
      counted.release();
    }
    return data;
  }
}
