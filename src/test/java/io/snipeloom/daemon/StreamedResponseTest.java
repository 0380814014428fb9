package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micronaut.http.HttpResponse;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

class StreamedResponseTest {
  private static final AttemptId ATTEMPT = AttemptId.of(Incarnation.of("router-1#1"), 1);
  private static final byte[] BODY = "no such model".getBytes(StandardCharsets.UTF_8);

  private final StreamedResponse answer = new StreamedResponse(false, ErrorJson::of);

  @Test
  void errorAnswerOfTheBackEndKeepsItsStatusAndBody() {
    answer.onHead(new Message.AnswerHead(ATTEMPT, 404, List.of()));
    answer.onChunk(BODY, () -> {});
    answer.onEnd(answerEnd());
    HttpResponse<?> response = answer.response().join();
    assertThat(response.code(), is(404));
    assertThat((byte[]) response.body(), is(BODY));
  }

  @Test
  void errorBeforeTheFirstEventFailsTheResponse() {
    answer.onError(SnipeloomException.of(ErrorCode.OVERLOADED, "too many"));
    CompletionException error =
        Assertions.assertThrows(CompletionException.class, answer.response()::join);
    assertThat(((SnipeloomException) error.getCause()).code(), is(ErrorCode.OVERLOADED));
  }

  private static Message.AnswerEnd answerEnd() {
    return new Message.AnswerEnd(ATTEMPT, 1, true, 0, 0, null, "");
  }
}
