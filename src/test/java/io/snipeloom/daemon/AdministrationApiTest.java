package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationSamples;
import io.snipeloom.state.Customer;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SpendPolicy;
import io.snipeloom.transport.HttpHost;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdministrationApiTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String EMPTY_DOCUMENT =
      "{'customers':[],'budgets':[],'topUps':[],'upstreams':[],'requestClasses':[]}";

  private final FakeFleet fleet = new FakeFleet();
  private final HttpClient client = HttpClient.newHttpClient();
  private HttpHost host;

  @BeforeEach
  void start() {
    host = fleet.startHost();
  }

  @AfterEach
  void stop() {
    host.stop();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + host.port() + path))
        .header("Authorization", "Bearer " + FakeFleet.TOKEN)
        .header("Content-Type", "application/json");
  }

  private HttpResponse<String> get(String path) throws Exception {
    return send(request(path).GET());
  }

  private HttpResponse<String> post(String path, String json, String... headers) throws Exception {
    HttpRequest.Builder request =
        request(path).POST(HttpRequest.BodyPublishers.ofString(json.replace('\'', '"')));
    return send(headers.length == 0 ? request : request.headers(headers));
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode expectError(HttpResponse<String> response, int status, String code)
      throws Exception {
    assertThat(response.body(), response.statusCode(), is(status));
    JsonNode error = MAPPER.readTree(response.body()).path("error");
    assertThat(response.body(), error.path("code").asText(), is(code));
    assertThat(error.has("step") && error.has("peer") && error.has("run"), is(true));
    return error;
  }

  @Test
  void servesTheConfigurationWithItsOffsetAsEntityTag() throws Exception {
    HttpResponse<String> response = get("/admin/v1/configuration");
    assertThat(response.headers().firstValue("ETag").get(), is("\"0\""));
    assertThat(MAPPER.readTree(response.body()).path("customers").size(), is(1));
    HttpResponse<String> unmodified =
        send(request("/admin/v1/configuration").header("If-None-Match", "\"0\"").GET());
    assertThat(unmodified.statusCode(), is(304));
  }

  @Test
  void pagesThroughSections() throws Exception {
    JsonNode first = MAPPER.readTree(get("/admin/v1/configuration/requestClasses?limit=1").body());
    assertThat(first.path("next").asText(), is("draft"));
    JsonNode second =
        MAPPER.readTree(get("/admin/v1/configuration/requestClasses?limit=1&after=draft").body());
    assertThat(second.at("/entries/0/value/id").asText(), is("vote"));
    assertThat(second.has("next"), is(false));
    expectError(get("/admin/v1/configuration/teapots"), 404, "not.found");
    expectError(get("/admin/v1/configuration/budgets?limit=0"), 400, "invalid.request");
    expectError(get("/admin/v1/configuration/budgets?limit=many"), 400, "invalid.request");
  }

  @Test
  void publishesEditsAndReportsTheConflictToTheLaterChange() throws Exception {
    String change =
        "{'baseOffset':0,'edits':[{'edit':'putCustomer','customer':{'id':'acme','name':'%s'}}]}";
    HttpResponse<String> published = post("/admin/v1/configuration/changes", change.formatted("A"));
    assertThat(published.body(), published.statusCode(), is(200));
    JsonNode conflict =
        expectError(
            post("/admin/v1/configuration/changes", change.formatted("B")),
            409,
            "configuration.conflict");
    assertThat(conflict.at("/violations/0/pointer").asText(), is("/edits/0"));
    assertThat(fleet.authority.current().customer(CustomerId.of("acme")).get().name(), is("A"));
  }

  @Test
  void reportsUnavailableLogWithRetryDelay() throws Exception {
    fleet.logUnavailable = true;
    HttpResponse<String> response =
        post(
            "/admin/v1/configuration/changes",
            "{'baseOffset':0,'edits':[{'edit':'putCustomer','customer':{'id':'acme'}}]}");
    JsonNode error = expectError(response, 503, "log.unavailable");
    assertThat(error.path("retryAfterMillis").asLong(), is(1_500L));
    assertThat(response.headers().firstValue("Retry-After").get(), is("2"));
    fleet.logUnavailable = false;
    assertThat(fleet.authority.current().offset(), is(0L));
  }

  @Test
  void rejectsInvalidChangesWithPointersAndPublishesNothing() throws Exception {
    ConfigurationDocument before = fleet.authority.current();
    JsonNode error =
        expectError(
            post(
                "/admin/v1/configuration/changes",
                "{'baseOffset':0,'edits':[{'edit':'putCustomer','customer':{'id':'new'}},"
                    + "{'edit':'putBudget','budget':{'id':'b','customer':'nobody'}}]}"),
            422,
            "invalid.configuration");
    assertThat(error.at("/violations/0/pointer").asText(), is("/edits/1/budget/customer"));
    assertThat(fleet.authority.current(), is(before));
  }

  @Test
  void replacesTheDocumentOnlyAtItsBaseOffset() throws Exception {
    String document = get("/admin/v1/configuration").body().replace("Name of acme", "Acme");
    expectError(post("/admin/v1/configuration", document), 400, "invalid.request");
    expectError(post("/admin/v1/configuration", document, "If-Match", "\"7\""), 503, "not.ready");
    HttpResponse<String> published = post("/admin/v1/configuration", document, "If-Match", "\"0\"");
    assertThat(published.body(), published.statusCode(), is(200));
    String stale = document.replace("Acme", "Stale");
    expectError(
        post("/admin/v1/configuration", stale, "If-Match", "\"0\""), 409, "configuration.conflict");
    assertThat(fleet.authority.current().customer(CustomerId.of("acme")).get().name(), is("Acme"));
  }

  @Test
  void validatesAndDiffsWholeDocuments() throws Exception {
    String document =
        get("/admin/v1/configuration")
            .body()
            .replace("\"customer\" : \"acme\"", "\"customer\":\"x\"");
    JsonNode error =
        expectError(
            post("/admin/v1/configuration/validate", document), 422, "invalid.configuration");
    assertThat(error.at("/violations/0/pointer").asText(), is("/budgets/0/customer"));
    expectError(post("/admin/v1/configuration/diff", EMPTY_DOCUMENT), 422, "invalid.configuration");
    JsonNode diff =
        MAPPER.readTree(
            post(
                    "/admin/v1/configuration/diff",
                    get("/admin/v1/configuration").body().replace("Name of acme", "Acme"))
                .body());
    assertThat(diff.at("/edits/0/edit").asText(), is("putCustomer"));
  }

  @Test
  void rejectsRequestsWithoutAnOperatorToken() throws Exception {
    String key = "customer-key";
    fleet.authority.publish(
        ConfigurationSamples.change(
            0,
            ConfigurationSamples.put(
                new Customer(
                    CustomerId.of("acme"),
                    "",
                    List.of(OperatorTokens.hash(key)),
                    null,
                    SpendPolicy.TIGHT))));
    for (String header : List.of("Bearer " + key, "Bearer ", "Basic abc", "Bearer x".repeat(200))) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(
                  URI.create("http://127.0.0.1:" + host.port() + "/admin/v1/configuration"))
              .header("Authorization", header);
      expectError(send(request), 401, "unauthenticated");
    }
    HttpResponse<String> withoutHeader =
        send(
            HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + host.port() + "/admin/v1/nothing")));
    expectError(withoutHeader, 401, "unauthenticated");
    assertThat(withoutHeader.headers().firstValue("WWW-Authenticate").get(), is("Bearer"));
  }

  @Test
  void rendersEveryErrorInTheSameFormat() throws Exception {
    expectError(get("/admin/v1/nothing"), 404, "not.found");
    expectError(get("/nothing"), 404, "not.found");
    expectError(send(request("/admin/v1/status").DELETE()), 405, "invalid.request");
    expectError(post("/admin/v1/orders", "{'target':"), 400, "invalid.request");
    expectError(post("/admin/v1/orders", "{}"), 400, "invalid.request");
    expectError(post("/admin/v1/orders", "{'target':'-'}"), 400, "invalid.request");
    expectError(post("/admin/v1/orders", "[1,2]"), 400, "invalid.request");
    expectError(get("/admin/v1/budgets/-"), 400, "invalid.identifier");
    expectError(get("/admin/v1/budgets/none"), 404, "not.found");
    expectError(
        post("/admin/v1/configuration/changes", "x".repeat(5 << 20)), 413, "body.too.large");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "null", "[]", "7", "{", "{'baseOffset':0}", "{'baseOffset':'0'}"})
  void rejectsBodiesThatAreNotConfigurationChanges(String body) throws Exception {
    HttpResponse<String> response = post("/admin/v1/configuration/changes", body);
    assertThat(response.statusCode(), is(body.isEmpty() ? 400 : 422));
    assertThat(response.body(), containsString("\"error\""));
    assertThat(response.body(), not(containsString("com.fasterxml")));
  }

  @Test
  void servesBalancesLedgerAndStatus() throws Exception {
    JsonNode budget = MAPPER.readTree(get("/admin/v1/budgets/acme-main").body());
    assertThat(budget.path("poolTokens").asLong(), is(900L));
    assertThat(
        MAPPER.readTree(get("/admin/v1/budgets").body()).at("/balances/0/budget").asText(),
        is("acme-main"));
    JsonNode ledger = MAPPER.readTree(get("/admin/v1/ledger?limit=1").body());
    assertThat(ledger.path("next").asLong(), is(1L));
    assertThat(ledger.path("lines").size(), is(1));
    assertThat(MAPPER.readTree(get("/admin/v1/status").body()).path("ready").asBoolean(), is(true));
  }

  @Test
  void passesOnOperatorActionsWithTheOperatorName() throws Exception {
    post("/admin/v1/holders/router-1%23a/write-off", "");
    post("/admin/v1/convictions/f00d/lift", "");
    HttpResponse<String> order =
        post("/admin/v1/orders", "{'target':'s1','action':'LOAD_MODEL','subject':'draft-1'}");
    assertThat(order.body().replaceAll("\\s", ""), is("{\"offset\":42}"));
    assertThat(
        fleet.actions,
        contains(
            "write-off router-1#a by amina",
            "lift f00d by amina",
            "LOAD_MODEL draft-1 at s1 by amina"));
    assertThat(fleet.actions, hasSize(3));
  }
}
