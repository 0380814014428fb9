package io.snipeloom.standin;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.core.io.buffer.ReferenceCounted;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.sse.Event;
import java.util.function.LongSupplier;
import reactor.core.publisher.BaseSubscriber;

/** Measures the response to one request of a load run. */
final class LoadCall extends BaseSubscriber<Event<ByteBuffer<?>>> {
  private final LoadAnswer answer;
  private final LoadResults results;
  private final LongSupplier nanos;
  private final Runnable onEnd;
  private final long startedAt;

  private long lastTokenAt;
  private boolean ended;

  LoadCall(LoadAnswer answer, LoadResults results, LongSupplier nanos, Runnable onEnd) {
    this.answer = answer;
    this.results = results;
    this.nanos = nanos;
    this.onEnd = onEnd;
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
      results.recordFirstToken(now - startedAt);
    } else {
      results.recordBetweenTokens(now - lastTokenAt);
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
      results.recordError(codeOf(error));
      onEnd.run();
    }
  }

  /** Handles the body of a non-streamed response. */
  void onCompletion(byte[] body) {
    answer.addCompletion(body);
    results.recordFirstToken(nanos.getAsLong() - startedAt);
    end();
  }

  /** Handles the failure of a request whose response is not streamed. */
  void onFailure(Throwable error) {
    hookOnError(error);
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    if (answer.isComplete()) {
      results.recordAnswer(answer.outputTokens());
    } else {
      results.recordError("answer.not.whole");
    }
    onEnd.run();
  }

  private static String codeOf(Throwable error) {
    if (error instanceof HttpClientResponseException errorResponse) {
      return "status." + errorResponse.getStatus().getCode();
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
