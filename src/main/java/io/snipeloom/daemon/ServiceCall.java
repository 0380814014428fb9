package io.snipeloom.daemon;

import io.micronaut.http.HttpResponse;
import io.snipeloom.coordination.BackEndCall;
import io.snipeloom.coordination.BackEndFailure;
import io.snipeloom.coordination.BackEndListener;
import java.util.Arrays;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * A call to a plain service.
 *
 * <p>The methods of the subscriber must be called from one thread at a time; {@link #cancel()} may
 * be called from any thread.
 */
final class ServiceCall implements BackEndCall, Subscriber<HttpResponse<byte[]>> {
  private static final int CHUNK_BYTES = 64 << 10;

  private final BackEndListener listener;
  private volatile Subscription subscription;
  private volatile boolean cancelled;
  private boolean ended;

  ServiceCall(BackEndListener listener) {
    this.listener = listener;
  }

  @Override
  public void cancel() {
    cancelled = true;
    Subscription current = subscription;
    if (current != null) {
      current.cancel();
    }
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    newSubscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(HttpResponse<byte[]> response) {
    if (ended) {
      return;
    }
    ended = true;
    if (!FinalStatus.isFinal(response.code())) {
      listener.onFailure(BackEndFailure.BROKEN, "status " + response.code() + " is no answer");
      return;
    }
    listener.onHead(response.code(), ResponseHeaders.of(response.getHeaders()));
    byte[] body = response.getBody().orElseGet(() -> new byte[0]);
    for (int from = 0; from < body.length; from += CHUNK_BYTES) {
      int to = Math.min(body.length, from + CHUNK_BYTES);
      listener.onData(Arrays.copyOfRange(body, from, to));
    }
    listener.onEnd();
  }

  @Override
  public void onError(Throwable error) {
    if (!ended && !cancelled) {
      ended = true;
      listener.onFailure(CallFailures.of(error), String.valueOf(error.getMessage()));
    }
  }

  @Override
  public void onComplete() {
    if (!ended && !cancelled) {
      ended = true;
      listener.onFailure(BackEndFailure.BROKEN, "the service sent no response");
    }
  }
}
