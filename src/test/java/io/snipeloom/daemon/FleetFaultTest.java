package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import io.snipeloom.standin.Faults;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RequestKey;
import io.snipeloom.transport.Eventually;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a fleet of separate processes while routers are killed or terminated, a sidecar is paused,
 * and the log is unavailable or loses responses.
 */
class FleetFaultTest {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String VOTES_PATH = "/desk/votes";
  private static final Pattern HELD_TOKENS =
      Pattern.compile("router-1#\\w+\",\"heldTokens\":(\\d+)");

  @TempDir private Path directory;
  private LocalFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new LocalFleet(directory);
    fleet.start();
  }

  @AfterEach
  void stop() {
    fleet.stop();
  }

  @Test
  void openAiClientReceivesTheSameAnswerWithAndWithoutStreaming() throws Exception {
    OpenAIClient client =
        OpenAIOkHttpClient.builder()
            .baseUrl(fleet.callerUrl("router-1") + "/v1")
            .apiKey(LocalFleet.API_KEY)
            .build();
    ChatCompletionCreateParams params =
        ChatCompletionCreateParams.builder()
            .model("draft-small")
            .maxCompletionTokens(12)
            .addUserMessage("Draft a citation")
            .build();
    ChatCompletion completion = client.chat().completions().create(params);
    assertThat(completion.toString(), completion.choices().isEmpty(), is(false));
    String text = completion.choices().get(0).message().content().orElseThrow();
    try (StreamResponse<ChatCompletionChunk> stream =
        client.chat().completions().createStreaming(params)) {
      String streamed =
          stream.stream()
              .flatMap(chunk -> chunk.choices().stream())
              .flatMap(choice -> choice.delta().content().stream())
              .collect(Collectors.joining());
      assertThat(streamed, is(text));
    }
    awaitBillLines(2);
  }

  @Test
  void requestRepeatedAfterRouterCrashIsAnsweredInFullAndBilledOnce() throws Exception {
    String key = newRequestKey();
    String body = chatBody(40);
    HttpResponse<InputStream> first =
        fleet.http.send(
            fleet.postRequest("router-1", CHAT_PATH, key, body),
            HttpResponse.BodyHandlers.ofInputStream());
    assertThat(first.body().read() >= 0, is(true));
    fleet.kill("router-1");
    HttpResponse<String> repeat = fleet.send(fleet.postRequest("router-2", CHAT_PATH, key, body));
    assertThat(repeat.body() + fleet.logTails(), repeat.statusCode(), is(200));
    assertThat(countTokens(repeat.body()), is(40));
    assertThat(repeat.body(), containsString("[DONE]"));
    awaitBillLines(1);
    assertThat(fleet.adminResponse("router-2", "/admin/v1/ledger"), containsString(key));
    fleet.startRouter("router-1");
    fleet.awaitReady("router-1");
    Eventually.await(
        "no budget lists a closed holder any more",
        () -> !fleet.adminResponse("router-2", "/admin/v1/budgets").contains("\"closed\" : true"));
  }

  @Test
  void voteTakesEffectOnceWhenTheSidecarIsPausedAndTheCallerRepeatsIt() throws Exception {
    String key = newRequestKey();
    fleet.sendSignal("desk-1", "STOP");
    CompletableFuture<HttpResponse<String>> first =
        fleet.http.sendAsync(
            fleet.postRequest("router-1", VOTES_PATH, key, "{\"vote\":1}"),
            HttpResponse.BodyHandlers.ofString());
    HttpResponse<String> firstResponse = first.get();
    assertThat(firstResponse.body(), not(containsString("\"effect\"")));
    fleet.sendSignal("desk-1", "CONT");
    Eventually.await(
        "the vote has an outcome" + fleet.logTails(),
        () -> repeatVote("router-2", key) == 200 || fleet.desk.effects().total() == 1);
    repeatVote("router-1", key);
    assertThat(fleet.desk.effects().total(), is(1L));
  }

  @Test
  void lostResponsesOfTheLogRepeatNeitherVotesNorBillLines() throws Exception {
    fleet.log.faults().set(Faults.none().withDroppedResponses(6));
    for (int i = 0; i < 3; i++) {
      HttpResponse<String> vote =
          fleet.send(
              fleet.postRequest("router-1", VOTES_PATH, newRequestKey(), "{\"vote\":" + i + "}"));
      assertThat(vote.body() + fleet.logTails(), vote.statusCode(), is(200));
    }
    assertThat(fleet.desk.effects().total(), is(3L));
    awaitBillLines(3);
  }

  @Test
  void duringLogOutageVotesAreNotRunAndDraftsAreServedFromTheClaim() throws Exception {
    HttpResponse<String> firstDraft =
        fleet.send(fleet.postRequest("router-1", CHAT_PATH, null, chatBody(4)));
    assertThat(firstDraft.statusCode(), is(200));
    Eventually.await(
        "the router holds more tokens than the next draft needs", () -> heldTokens() > 400);
    fleet.log.faults().set(Faults.none().withDown(true));
    HttpResponse<String> draft =
        fleet.send(fleet.postRequest("router-1", CHAT_PATH, null, chatBody(4)));
    assertThat(draft.body() + fleet.logTails(), draft.statusCode(), is(200));
    assertThat(countTokens(draft.body()), is(4));
    HttpResponse<String> vote =
        fleet.send(fleet.postRequest("router-1", VOTES_PATH, newRequestKey(), "{\"vote\":1}"));
    assertThat(vote.body(), containsString("\"run\":\"not run\""));
    assertThat(vote.headers().firstValue("Retry-After").isPresent(), is(true));
    fleet.log.faults().set(Faults.none());
    awaitBillLines(2);
    assertThat(fleet.desk.effects().total(), is(0L));
  }

  @Test
  void terminatedRouterFinishesItsStreamsAndReturnsItsClaims() throws Exception {
    CompletableFuture<HttpResponse<String>> stream =
        fleet.http.sendAsync(
            fleet.postRequest("router-1", CHAT_PATH, null, chatBody(60)),
            HttpResponse.BodyHandlers.ofString());
    Eventually.await(
        "the engine has produced a token or the request has ended",
        () -> fleet.engine.counts().tokens() > 0 || stream.isDone());
    fleet.terminate("router-1");
    assertThat(fleet.logTails(), countTokens(stream.get().body()), is(60));
    assertThat(stream.get().body(), containsString("[DONE]"));
    Eventually.await(
        "the claims of the terminated router are returned",
        () -> !fleet.adminResponse("router-2", "/admin/v1/budgets").contains("router-1#"));
  }

  /** Returns the tokens that router-1 holds, or 0 if none are listed. */
  private long heldTokens() {
    Matcher held =
        HELD_TOKENS.matcher(
            fleet.adminResponse("router-1", "/admin/v1/budgets").replaceAll("\\s", ""));
    return held.find() ? Long.parseLong(held.group(1)) : 0;
  }

  /** Repeats a vote and returns the status of the response, or 0 if the call failed. */
  private int repeatVote(String router, String key) {
    try {
      return fleet.send(fleet.postRequest(router, VOTES_PATH, key, "{\"vote\":1}")).statusCode();
    } catch (Exception e) {
      return 0;
    }
  }

  private void awaitBillLines(int lines) {
    Eventually.await(
        lines + " bill lines" + fleet.logTails(),
        () ->
            fleet.adminResponse("router-2", "/admin/v1/ledger").split("\"line\" :", -1).length - 1
                == lines);
  }

  /** Counts the content fields of an event stream; the engine stand-in sends one per token. */
  private static int countTokens(String events) {
    return events.split("\"content\":", -1).length - 1;
  }

  private static String chatBody(int tokens) {
    return ("{\"model\": \"draft-small\", \"stream\": true, \"max_tokens\": %d,"
            + " \"messages\": [{\"role\": \"user\", \"content\": \"Draft a citation\"}]}")
        .formatted(tokens);
  }

  private static String newRequestKey() {
    return RequestKey.generate(
            CustomerId.of("kilimanjaro"), System.currentTimeMillis(), UUID.randomUUID())
        .token();
  }
}
