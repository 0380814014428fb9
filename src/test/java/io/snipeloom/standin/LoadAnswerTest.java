package io.snipeloom.standin;

import static io.snipeloom.standin.StandinFixture.failureOf;
import static io.snipeloom.standin.StandinFixture.uri;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.ErrorCode;
import java.net.URI;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class LoadAnswerTest {
  private static final AnswerText TEXT = AnswerText.of("prompt");

  @Test
  void answerWithAllTokensIsComplete() {
    assertThat(answer(TEXT, 0, 1, 2).isComplete(), is(true));
  }

  @Test
  void answerWithMissingDuplicatedOrReorderedTokenIsNotComplete() {
    assertThat(answer(TEXT, 0, 2).isComplete(), is(false));
    assertThat(answer(TEXT, 0, 1, 1, 2).isComplete(), is(false));
    assertThat(answer(TEXT, 0, 2, 1).isComplete(), is(false));
  }

  @Test
  void answerToAnotherPromptIsNotComplete() {
    assertThat(answer(AnswerText.of("other"), 0, 1, 2).isComplete(), is(false));
  }

  @Test
  void answerWithoutEndMarkerIsNotComplete() {
    LoadAnswer answer = new LoadAnswer("prompt");
    answer.addEvent(token(TEXT, 0));
    assertThat(answer.isComplete(), is(false));
  }

  @Test
  void loadRunCountsCompleteAnswersOfEngine() throws InterruptedException {
    EngineStandin engine =
        EngineStandin.of(StandinAddress.anyPort(), EngineSettings.standard().withGeneration(1, 4));
    engine.start();
    try {
      assertThat(answers(plan(uri(engine.port()), true)), is(12L));
      assertThat(answers(plan(uri(engine.port()), false)), is(12L));
    } finally {
      engine.stop();
    }
  }

  @Test
  void loadPlanRejectsHostsThatAreNotLoopback() {
    assertThat(
        failureOf(() -> plan(URI.create("http://10.0.0.1:80"), true)).code(),
        is(ErrorCode.INVALID_SETTINGS));
    assertThat(
        failureOf(() -> plan(URI.create("http://127.0.0.1.example.org"), true)).code(),
        is(ErrorCode.INVALID_SETTINGS));
  }

  private static long answers(LoadPlan plan) throws InterruptedException {
    LoadResults results = new LoadResults();
    LoadRun run = LoadRun.of(plan, 0, plan.requests(), results);
    run.start();
    run.await(plan.limit());
    run.stop();
    return results.answers();
  }

  private static LoadPlan plan(URI url, boolean stream) {
    return new LoadPlan(url, "", "standin-model", 3, 12, Duration.ofSeconds(30), 0, stream, 4, 5);
  }

  private static LoadAnswer answer(AnswerText text, int... tokens) {
    LoadAnswer answer = new LoadAnswer("prompt");
    for (int token : tokens) {
      answer.addEvent(token(text, token));
    }
    answer.addEvent("{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}".getBytes(UTF_8));
    answer.addEvent("{\"choices\":[],\"usage\":{\"completion_tokens\":3}}".getBytes(UTF_8));
    answer.addEvent("[DONE]".getBytes(UTF_8));
    return answer;
  }

  private static byte[] token(AnswerText text, int index) {
    String content = text.token(index);
    return ("{\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}").getBytes(UTF_8);
  }
}
