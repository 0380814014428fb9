package io.snipeloom.coordination;

import io.snipeloom.protocol.HttpCall;
import io.snipeloom.state.EngineOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A back end client whose responses and failures are triggered by the test. */
final class FakeBackEnd implements BackEndClient {
  final List<Call> calls = new ArrayList<>();
  final List<Long> receivedFencingNumbers = new ArrayList<>();
  BackEndStatus status = new BackEndStatus(true, 0, 0, 0, "start-1");
  boolean reachable = true;
  CompletableFuture<Void> orderResult = CompletableFuture.completedFuture(null);

  @Override
  public BackEndCall start(HttpCall call, BackEndListener listener) {
    Call started = new Call(call, listener);
    calls.add(started);
    return started;
  }

  @Override
  public CompletionStage<BackEndStatus> probe() {
    return reachable
        ? CompletableFuture.completedFuture(status)
        : CompletableFuture.failedFuture(new IllegalStateException("down"));
  }

  @Override
  public CompletionStage<Void> order(long fencingNumber, EngineOrder order) {
    receivedFencingNumbers.add(fencingNumber);
    return orderResult;
  }

  /** A call started on the fake back end. */
  static final class Call implements BackEndCall {
    final HttpCall call;
    final BackEndListener listener;
    boolean cancelled;

    Call(HttpCall call, BackEndListener listener) {
      this.call = call;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    void sendHead() {
      listener.onHead(200, List.of());
    }

    void sendToken(String text) {
      sendEvent("{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}");
    }

    void sendUsage(int prompt, int output) {
      sendEvent(
          "{\"choices\":[],\"usage\":{\"prompt_tokens\":"
              + prompt
              + ",\"completion_tokens\":"
              + output
              + "}}");
    }

    void sendEvent(String json) {
      listener.onData(json.getBytes(StandardCharsets.UTF_8));
    }

    void complete() {
      sendHead();
      sendToken("a");
      sendUsage(5, 1);
      listener.onEnd();
    }

    void breakConnection() {
      listener.onFailure(BackEndFailure.BROKEN, "reset");
    }
  }
}
