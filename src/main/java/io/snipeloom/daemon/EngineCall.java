package io.snipeloom.daemon;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.core.io.buffer.ReferenceCounted;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.sse.Event;
import io.snipeloom.coordination.BackEndCall;
import io.snipeloom.coordination.BackEndFailure;
import io.snipeloom.coordination.BackEndListener;
import io.snipeloom.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * A streaming call to a model engine. The response is complete only if it ends with the end marker
 * {@code [DONE]}.
 *
 * <p>The methods of the subscriber must be called from one thread at a time; {@link #cancel()} may
 * be called from any thread.
 */
final class EngineCall implements BackEndCall, Subscriber<Event<ByteBuffer<?>>> {
  private static final byte[] END_MARKER = "[DONE]".getBytes(StandardCharsets.UTF_8);
  private static final int OK = 200;
  private static final List<Header> STREAM_HEADERS =
      List.of(new Header("content-type", "text/event-stream"));

  private final BackEndListener listener;
  private final Runnable cancelAtEngine;
  private volatile Subscription subscription;
  private volatile boolean cancelled;
  private boolean headSent;
  private boolean ended;

  EngineCall(BackEndListener listener, Runnable cancelAtEngine) {
    this.listener = listener;
    this.cancelAtEngine = cancelAtEngine;
  }

  @Override
  public void cancel() {
    cancelled = true;
    Subscription current = subscription;
    if (current != null) {
      current.cancel();
    }
    cancelAtEngine.run();
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    if (cancelled) {
      newSubscription.cancel();
    } else {
      newSubscription.request(Long.MAX_VALUE);
    }
  }

  @Override
  public void onNext(Event<ByteBuffer<?>> event) {
    byte[] data = bytes(event.getData());
    if (ended || data.length == 0) {
      return;
    }
    if (Arrays.equals(data, END_MARKER)) {
      ended = true;
      sendHead(OK, STREAM_HEADERS);
      listener.onEnd();
    } else {
      sendHead(OK, STREAM_HEADERS);
      listener.onData(data);
    }
  }

  @Override
  public void onError(Throwable error) {
    if (ended || cancelled) {
      return;
    }
    ended = true;
    if (error instanceof HttpClientResponseException errorResponse
        && FinalStatus.isFinal(errorResponse.code())
        && !headSent) {
      forwardErrorResponse(errorResponse.getResponse());
    } else {
      BackEndFailure failure = headSent ? BackEndFailure.BROKEN : CallFailures.of(error);
      listener.onFailure(failure, String.valueOf(error.getMessage()));
    }
  }

  @Override
  public void onComplete() {
    if (!ended && !cancelled) {
      ended = true;
      listener.onFailure(BackEndFailure.BROKEN, "the event stream ended without the end marker");
    }
  }

  private void forwardErrorResponse(HttpResponse<?> response) {
    sendHead(response.code(), ResponseHeaders.of(response.getHeaders()));
    response.getBody(byte[].class).ifPresent(listener::onData);
    listener.onEnd();
  }

  private void sendHead(int status, List<Header> headers) {
    if (!headSent) {
      headSent = true;
      listener.onHead(status, headers);
    }
  }

  private static byte[] bytes(ByteBuffer<?> buffer) {
    byte[] data = buffer.toByteArray();
    if (buffer instanceof ReferenceCounted counted) {
      counted.release();
    }
    return data;
  }
}
