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

/** Faults of real processes: killed, paused, cut off from the log, answers lost. */
class FleetFaultTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String VOTES = "/desk/votes";
  private static final Pattern HELD = Pattern.compile("router-1#\\w+\",\"heldTokens\":(\\d+)");

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
  void stockClientGetsWholeAnswersWithAndWithoutStreaming() throws Exception {
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
    ChatCompletion whole = client.chat().completions().create(params);
    assertThat(whole.toString(), whole.choices().isEmpty(), is(false));
    String text = whole.choices().get(0).message().content().orElseThrow();
    try (StreamResponse<ChatCompletionChunk> stream =
        client.chat().completions().createStreaming(params)) {
      String streamed =
          stream.stream()
              .flatMap(chunk -> chunk.choices().stream())
              .flatMap(choice -> choice.delta().content().stream())
              .collect(Collectors.joining());
      assertThat(streamed, is(text));
    }
    awaitLines(2);
  }

  @Test
  void repeatAfterKilledRouterFollowsTheFirstRunAndIsBilledOnce() throws Exception {
    String key = freshKey();
    String body = chatBody(40);
    HttpResponse<InputStream> first =
        fleet.http.send(
            fleet.post("router-1", CHAT, key, body), HttpResponse.BodyHandlers.ofInputStream());
    assertThat(first.body().read() >= 0, is(true));
    fleet.kill("router-1");
    HttpResponse<String> repeat = fleet.send(fleet.post("router-2", CHAT, key, body));
    assertThat(repeat.body() + fleet.logs(), repeat.statusCode(), is(200));
    assertThat(tokensOf(repeat.body()), is(40));
    assertThat(repeat.body(), containsString("[DONE]"));
    awaitLines(1);
    assertThat(fleet.admin("router-2", "/admin/v1/ledger"), containsString(key));
    fleet.startRouter("router-1");
    fleet.awaitReady("router-1");
    Eventually.await(
        "the remainder of the killed router went back",
        () -> !fleet.admin("router-2", "/admin/v1/budgets").contains("\"closed\" : true"));
  }

  @Test
  void voteRunsOnceWhenItsSidecarIsPausedAndTheCallerRepeatsIt() throws Exception {
    String key = freshKey();
    fleet.signal("desk-1", "STOP");
    CompletableFuture<HttpResponse<String>> first =
        fleet.http.sendAsync(
            fleet.post("router-1", VOTES, key, "{\"vote\":1}"),
            HttpResponse.BodyHandlers.ofString());
    HttpResponse<String> unknown = first.get();
    assertThat(unknown.body(), not(containsString("\"effect\"")));
    fleet.signal("desk-1", "CONT");
    Eventually.await(
        "the vote has an outcome" + fleet.logs(),
        () -> statusOfRepeat("router-2", key) == 200 || fleet.desk.effects().total() == 1);
    statusOfRepeat("router-1", key);
    assertThat(fleet.desk.effects().total(), is(1L));
  }

  @Test
  void lostAnswersOfTheLogNeitherRepeatVotesNorBills() throws Exception {
    fleet.log.faults().set(Faults.none().withDroppedResponses(6));
    for (int i = 0; i < 3; i++) {
      HttpResponse<String> vote =
          fleet.send(fleet.post("router-1", VOTES, freshKey(), "{\"vote\":" + i + "}"));
      assertThat(vote.body() + fleet.logs(), vote.statusCode(), is(200));
    }
    assertThat(fleet.desk.effects().total(), is(3L));
    awaitLines(3);
  }

  @Test
  void logOutageRefusesVotesAsNotRunAndServesDraftsFromTheClaim() throws Exception {
    HttpResponse<String> warm = fleet.send(fleet.post("router-1", CHAT, null, chatBody(4)));
    assertThat(warm.statusCode(), is(200));
    Eventually.await("a claim ahead of need", () -> cushion() > 400);
    fleet.log.faults().set(Faults.none().withDown(true));
    HttpResponse<String> draft = fleet.send(fleet.post("router-1", CHAT, null, chatBody(4)));
    assertThat(draft.body() + fleet.logs(), draft.statusCode(), is(200));
    assertThat(tokensOf(draft.body()), is(4));
    HttpResponse<String> vote =
        fleet.send(fleet.post("router-1", VOTES, freshKey(), "{\"vote\":1}"));
    assertThat(vote.body(), containsString("\"run\":\"not run\""));
    assertThat(vote.headers().firstValue("Retry-After").isPresent(), is(true));
    fleet.log.faults().set(Faults.none());
    awaitLines(2);
    assertThat(fleet.desk.effects().total(), is(0L));
  }

  @Test
  void stoppedRouterFinishesItsStreamsAndReturnsItsClaims() throws Exception {
    CompletableFuture<HttpResponse<String>> open =
        fleet.http.sendAsync(
            fleet.post("router-1", CHAT, null, chatBody(60)), HttpResponse.BodyHandlers.ofString());
    Eventually.await(
        "the engine answers", () -> fleet.engine.counts().tokens() > 0 || open.isDone());
    fleet.terminate("router-1");
    assertThat(fleet.logs(), tokensOf(open.get().body()), is(60));
    assertThat(open.get().body(), containsString("[DONE]"));
    Eventually.await(
        "claims returned",
        () -> !fleet.admin("router-2", "/admin/v1/budgets").contains("router-1#"));
  }

  private long cushion() {
    Matcher held = HELD.matcher(fleet.admin("router-1", "/admin/v1/budgets").replaceAll("\\s", ""));
    return held.find() ? Long.parseLong(held.group(1)) : 0;
  }

  private int statusOfRepeat(String router, String key) {
    try {
      return fleet.send(fleet.post(router, VOTES, key, "{\"vote\":1}")).statusCode();
    } catch (Exception e) {
      return 0;
    }
  }

  private void awaitLines(int lines) {
    Eventually.await(
        lines + " bill lines" + fleet.logs(),
        () ->
            fleet.admin("router-2", "/admin/v1/ledger").split("\"line\" :", -1).length - 1
                == lines);
  }

  private static int tokensOf(String events) {
    return events.split("\"content\":", -1).length - 1;
  }

  private static String chatBody(int tokens) {
    return ("{\"model\": \"draft-small\", \"stream\": true, \"max_tokens\": %d,"
            + " \"messages\": [{\"role\": \"user\", \"content\": \"Draft a citation\"}]}")
        .formatted(tokens);
  }

  private static String freshKey() {
    return RequestKey.generate(
            CustomerId.of("kilimanjaro"), System.currentTimeMillis(), UUID.randomUUID())
        .token();
  }
}
