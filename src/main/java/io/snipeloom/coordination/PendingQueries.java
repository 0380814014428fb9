package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The queries of one link that wait for an answer. Not thread-safe. */
final class PendingQueries {
  private final String peer;
  private final Map<Long, CompletableFuture<Message.CallStatus>> answers = new HashMap<>();
  private long nextId = 1;

  PendingQueries(String peer) {
    this.peer = peer;
  }

  /** Registers a query and returns a copy with a unique number. */
  Message.CallQuery add(Message.CallQuery query, CompletableFuture<Message.CallStatus> answer) {
    long id = nextId++;
    answers.put(id, answer);
    return new Message.CallQuery(id, query.key(), query.attempt(), query.plantTombstone());
  }

  void complete(Message.CallStatus status) {
    CompletableFuture<Message.CallStatus> answer = answers.remove(status.queryId());
    if (answer != null) {
      answer.complete(status);
    }
  }

  void fail(CompletableFuture<Message.CallStatus> answer) {
    answer.completeExceptionally(
        SnipeloomException.of(ErrorCode.CONNECTION_LOST, "the sidecar is not connected")
            .withOrigin("query", peer)
            .withRunState(RunState.UNKNOWN));
  }

  void failAll() {
    List<CompletableFuture<Message.CallStatus>> lost = new ArrayList<>(answers.values());
    answers.clear();
    lost.forEach(this::fail);
  }
}
