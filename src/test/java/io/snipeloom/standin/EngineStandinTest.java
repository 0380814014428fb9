package io.snipeloom.standin;

import static io.snipeloom.standin.StandinFixture.SHORT_TIMEOUTS;
import static io.snipeloom.standin.StandinFixture.await;
import static io.snipeloom.standin.StandinFixture.failureOf;
import static io.snipeloom.standin.StandinFixture.uri;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.snipeloom.client.HttpModelEngine;
import io.snipeloom.client.OrderRequest;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineStandinTest {
  private static final String PATH = "/v1/chat/completions";
  private static final EngineSettings FAST =
      EngineSettings.standard().withGeneration(2, 8).withCrashDownMillis(200);

  private final ObjectMapper json = new ObjectMapper();
  private final List<Socket> sockets = new ArrayList<>();
  private EngineStandin engine;
  private HttpClient http;
  private HttpModelEngine client;

  private void start(EngineSettings settings) throws IOException {
    engine = EngineStandin.of(StandinAddress.anyPort(), settings);
    engine.start();
    http = HttpClient.create(uri(engine.port()).toURL());
    client = HttpModelEngine.of(uri(engine.port()), SHORT_TIMEOUTS);
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    client.stop();
    http.close();
    engine.stop();
  }

  @Test
  void nonStreamedResponseContainsAnswerAndUsage() throws Exception {
    start(FAST);
    JsonNode answer = json.readTree(post(PATH, body("one two three", "")));
    assertThat(
        answer.at("/choices/0/message/content").asText(),
        is(AnswerText.of("one two three").text(8)));
    assertThat(answer.at("/choices/0/finish_reason").asText(), is("stop"));
    assertThat(answer.at("/usage/prompt_tokens").asInt(), is(3));
    assertThat(answer.at("/usage/total_tokens").asInt(), is(11));
  }

  @Test
  void streamedResponseContainsSameAnswerAndEndsWithUsage() throws Exception {
    start(FAST);
    String extra = ",\"stream\":true,\"stream_options\":{\"include_usage\":true},\"max_tokens\":3";
    List<JsonNode> events = events(post(PATH, body("one two", extra)));
    assertThat(text(events), is(AnswerText.of("one two").text(3)));
    assertThat(events, hasSize(5));
    assertThat(events.get(3).at("/choices/0/finish_reason").asText(), is("length"));
    assertThat(events.get(4).at("/usage/completion_tokens").asInt(), is(3));
  }

  @Test
  void concurrentRequestsReceiveTheirOwnAnswers() throws Exception {
    start(FAST.withBatch(4, 100));
    List<CompletableFuture<String>> calls = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String body = body("caller " + i, "");
      calls.add(CompletableFuture.supplyAsync(() -> post(PATH, body)));
    }
    for (int i = 0; i < calls.size(); i++) {
      JsonNode answer = json.readTree(calls.get(i).get(20, TimeUnit.SECONDS));
      assertThat(
          answer.at("/choices/0/message/content").asText(),
          is(AnswerText.of("caller " + i).text(8)));
    }
  }

  @Test
  void crashMarkerFailsAllRequestsInBatchAndEngineRecovers() throws Exception {
    start(FAST.withGeneration(20, 1000));
    CompletableFuture<Exception> otherRequest =
        CompletableFuture.supplyAsync(() -> failureOfRequest(body("other", ",\"stream\":true")));
    await(() -> engine.counts().tokens() > 0);
    final String startId = client.load().startId();
    assertThat(failureOfRequest(body("bad <<crash>> text", "")), is(connectionError()));
    assertThat(otherRequest.get(20, TimeUnit.SECONDS), is(connectionError()));
    assertThat(engine.counts().crashes(), is(1L));
    await(() -> isUp());
    assertThat(client.load().startId(), is(not(startId)));
  }

  @Test
  void clientDisconnectStopsStreamedGeneration() throws Exception {
    start(FAST.withGeneration(2, 1_000_000));
    Socket socket = send(body("long text", ",\"stream\":true"), "");
    await(() -> engine.counts().tokens() > 3);
    socket.close();
    await(() -> engine.counts().stopped() == 1);
    await(() -> client.load().running() == 0);
  }

  @Test
  void clientDisconnectStopsNonStreamedGeneration() throws Exception {
    start(FAST.withGeneration(2, 1_000_000));
    Socket socket = send(body("long text", ""), "");
    await(() -> engine.counts().tokens() > 3);
    socket.close();
    await(() -> engine.counts().stopped() == 1);
  }

  @Test
  void interruptedStreamResumesAtRequestedToken() throws Exception {
    start(FAST.withGeneration(5, 40));
    Socket socket = send(body("long text", ",\"stream\":true"), "X-Request-Id: r1\r\n");
    await(() -> engine.counts().tokens() > 3);
    socket.close();
    await(() -> engine.counts().stopped() == 1);
    List<JsonNode> events = events(post("/v1/requests/r1/resume?from=2", ""));
    AnswerText answer = AnswerText.of("long text");
    assertThat(answer.text(2) + text(events), is(answer.text(40)));
    assertThat(engine.counts().tokens(), is(40L));
  }

  @Test
  void cancelStopsRequestAndSecondCancelFails() throws Exception {
    start(FAST.withGeneration(2, 1_000_000));
    send(body("long text", ",\"stream\":true"), "X-Request-Id: r2\r\n");
    await(() -> engine.counts().tokens() > 3);
    client.cancel("r2");
    assertThat(engine.counts().stopped(), is(1L));
    assertThat(failureOf(() -> client.cancel("r2")).code(), is(ErrorCode.CONNECTION_LOST));
  }

  @Test
  void orderWithOldFencingNumberIsRejectedUnlessIgnored() throws Exception {
    start(FAST);
    EngineOrder load = new EngineOrder(EngineOrder.Action.LOAD_MODEL, "second-model");
    client.order(7, load);
    assertThat(failureOf(() -> client.order(6, load)).code(), is(ErrorCode.FENCED));
    assertThat(get("/v1/models"), containsString("second-model"));
    EngineOrders ignoring = new EngineOrders(List.of("m"), true);
    ignoring.apply(new OrderRequest(7, load.action(), "a"));
    ignoring.apply(new OrderRequest(6, load.action(), "b"));
    assertThat(ignoring.applied(), hasSize(2));
  }

  @Test
  void invalidRequestsAreRejectedWithErrorCodeOrField() throws Exception {
    start(FAST);
    assertThat(errorBody("{"), containsString("invalid.request"));
    assertThat(errorBody("{\"model\":\"standin-model\"}"), containsString("/messages"));
    assertThat(errorBody(body("x", ",\"max_tokens\":-1")), containsString("/max_tokens"));
    assertThat(
        errorBody(body("x", "").replace("standin-model", "other")), containsString("not.found"));
  }

  @Test
  void requestIsRejectedWhenQueueIsFull() throws Exception {
    start(FAST.withGeneration(2, 1_000_000).withBatch(1, 0));
    send(body("long text", ",\"stream\":true"), "");
    await(() -> engine.counts().tokens() > 0);
    assertThat(errorBody(body("x", "")), containsString("overloaded"));
  }

  private String body(String prompt, String extra) {
    return "{\"model\":\"standin-model\",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]"
        + extra
        + "}";
  }

  private String post(String path, String body) {
    String accept = body.contains("\"stream\":true") ? "text/event-stream" : "application/json";
    return http.toBlocking().retrieve(HttpRequest.POST(path, body).header("Accept", accept));
  }

  private String get(String path) {
    return http.toBlocking().retrieve(path);
  }

  private boolean isUp() {
    try {
      return get("/health").contains("ok");
    } catch (HttpClientException e) {
      return false;
    }
  }

  private Exception failureOfRequest(String body) {
    try {
      post(PATH, body);
      return null;
    } catch (HttpClientException e) {
      return e;
    }
  }

  private static Matcher<Exception> connectionError() {
    return allOf(
        instanceOf(HttpClientException.class), not(instanceOf(HttpClientResponseException.class)));
  }

  private String errorBody(String body) {
    try {
      return post(PATH, body);
    } catch (HttpClientResponseException e) {
      return e.getResponse().getBody(String.class).orElse("");
    }
  }

  private Socket send(String body, String headers) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), engine.port());
    sockets.add(socket);
    String head =
        "POST " + PATH + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + body.length();
    socket.getOutputStream().write((head + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return socket;
  }

  private List<JsonNode> events(String stream) throws IOException {
    List<JsonNode> events = new ArrayList<>();
    for (String line : stream.split("\n", -1)) {
      if (line.startsWith("data: ") && !line.contains("[DONE]")) {
        events.add(json.readTree(line.substring("data: ".length())));
      }
    }
    return events;
  }

  private static String text(List<JsonNode> events) {
    StringBuilder text = new StringBuilder();
    for (JsonNode event : events) {
      text.append(event.at("/choices/0/delta/content").asText(""));
    }
    return text.toString();
  }
}
