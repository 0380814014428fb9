package io.snipeloom.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.containsStringIgnoringCase;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationSamples;
import io.snipeloom.state.Customer;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SpendPolicy;
import io.snipeloom.transport.HttpHost;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConsoleTest {
  private static final byte[] SESSION_KEY = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);
  private static final long SEED = 7;

  private final AtomicReference<Instant> now =
      new AtomicReference<>(Instant.parse("2026-12-01T00:00:00Z"));
  private final FakeFleet fleet = new FakeFleet();
  private final HttpClient client = HttpClient.newHttpClient();
  private HttpHost host;
  private HttpHost otherHost;
  private String cookie = "";
  private HttpResponse<String> page;

  private ConsoleSecurity security() {
    InstantSource clock = now::get;
    return ConsoleSecurity.of(SESSION_KEY, false, clock, new Random(SEED));
  }

  @BeforeEach
  void start() throws Exception {
    host = fleet.startHost(security());
    otherHost = fleet.startHost(security());
    signIn(FakeFleet.TOKEN);
  }

  @AfterEach
  void stop() {
    host.stop();
    otherHost.stop();
  }

  private void signIn(String token) throws Exception {
    HttpResponse<String> response = postForm(host, "/console/sign-in", "token=" + token);
    assertThat(response.statusCode(), is(303));
    String setCookie = response.headers().firstValue("Set-Cookie").get();
    assertThat(
        setCookie,
        allOf(
            containsStringIgnoringCase("HttpOnly"),
            containsString("SameSite=Strict"),
            containsString("Path=/console"),
            containsString("Max-Age=1800")));
    cookie = setCookie.substring(0, setCookie.indexOf(';'));
    page = get("/console");
  }

  private HttpResponse<String> get(String path) throws Exception {
    return client.send(
        HttpRequest.newBuilder(uri(host, path)).header("Cookie", cookie).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> postForm(
      HttpHost target, String path, String form, String... headers) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(target, path))
            .header("Cookie", cookie)
            .header("Content-Type", "application/x-www-form-urlencoded")
            .POST(HttpRequest.BodyPublishers.ofString(form));
    return client.send(
        (headers.length == 0 ? request : request.headers(headers)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static URI uri(HttpHost target, String path) {
    return URI.create("http://127.0.0.1:" + target.port() + path);
  }

  /**
   * Submits a form with the hidden fields of the current page and makes the response the current
   * page.
   */
  private HttpResponse<String> submit(String path, String... fields) throws Exception {
    page = postForm(host, path, form(fields));
    return page;
  }

  private String form(String... fields) {
    StringBuilder form = new StringBuilder();
    append(form, "formToken", hiddenField("formToken"));
    append(form, "draft", hiddenField("draft"));
    for (int i = 0; i < fields.length; i += 2) {
      append(form, fields[i], fields[i + 1]);
    }
    return form.toString();
  }

  private static void append(StringBuilder form, String name, String value) {
    form.append(form.isEmpty() ? "" : "&").append(URLEncoder.encode(name, UTF_8)).append('=');
    form.append(URLEncoder.encode(value, UTF_8));
  }

  private String hiddenField(String name) {
    Matcher matcher =
        Pattern.compile("name=\"%s\" value=\"([^\"]*)\"".formatted(name)).matcher(page.body());
    assertThat("no field %s in %s".formatted(name, page.body()), matcher.find(), is(true));
    return matcher.group(1);
  }

  private Customer acme() {
    return fleet.authority.current().customer(CustomerId.of("acme")).get();
  }

  @Test
  void publishesTheEditsOfSeveralFormsAsOneChange() throws Exception {
    submit("/console/customers/save", "id", "beta", "name", "Beta", "policy", "TIGHT");
    assertThat(page.body(), page.statusCode(), is(200));
    submit("/console/budgets/save", "id", "beta-main", "customer", "beta");
    submit("/console/topUps/save", "id", "beta-1", "budget", "beta-main", "tokens", "500");
    submit("/console/upstreams/save", "id", "rooms", "kind", "PLAIN_SERVICE");
    submit(
        "/console/requestClasses/save",
        "id",
        "book",
        "urgency",
        "NOT_REPEATABLE",
        "upstream",
        "rooms",
        "route/method",
        "POST",
        "route/pathPrefix",
        "/bookings",
        "fixedTokens",
        "3",
        "deadlineMillis",
        "9000",
        "queueLimit",
        "10");
    assertThat(page.body(), page.statusCode(), is(200));
    assertThat("nothing is published yet", fleet.authority.current().offset(), is(0L));
    submit("/console/review");
    assertThat(page.body(), containsString("Publish 5 edits"));
    submit("/console/publish");
    assertThat(page.body(), containsString("in force from offset 1 on"));
    ConfigurationDocument document = fleet.authority.current();
    assertThat(document.offset(), is(1L));
    assertThat(document.toppedUpTokens(BudgetId.of("beta-main")), is(500L));
    assertThat(hiddenField("draft"), is("1"));
  }

  @Test
  void showsErrorsNextToTheirFields() throws Exception {
    submit(
        "/console/requestClasses/save",
        "id",
        "-",
        "urgency",
        "PROMPT",
        "upstream",
        "nowhere",
        "deadlineMillis",
        "soon",
        "queueLimit",
        "99999999999999999999");
    assertThat(page.statusCode(), is(422));
    for (String field : List.of("id", "deadlineMillis", "queueLimit")) {
      assertThat(page.body(), containsString("id=\"field-%s-error\"".formatted(field)));
      assertThat(page.body(), containsString("field-%s-error\"".formatted(field)));
    }
    assertThat(page.body(), containsString("must be a whole number"));
    assertThat(page.body(), containsString("must be at most 1000000"));
    assertThat("the entered value is kept", page.body(), containsString("value=\"soon\""));
    submit(
        "/console/requestClasses/save",
        "id",
        "x",
        "urgency",
        "PROMPT",
        "upstream",
        "nowhere",
        "deadlineMillis",
        "1",
        "queueLimit",
        "1");
    assertThat(page.body(), containsString("there is no upstream nowhere"));
    assertThat(page.body(), containsString("aria-describedby=\"field-upstream-error\""));
    assertThat("the draft stays empty", hiddenField("draft"), is("0"));
  }

  @Test
  void editsAndRemovesEntries() throws Exception {
    submit("/console/customers/edit", "entry", "acme");
    assertThat(page.body(), containsString("value=\"Name of acme\""));
    submit("/console/customers/save", "entry", "acme", "id", "other", "policy", "TIGHT");
    assertThat(page.body(), containsString("cannot change"));
    submit("/console/customers/remove", "entry", "acme");
    assertThat(page.statusCode(), is(422));
    assertThat(page.body(), containsString("customer acme still has 1 budgets"));
    submit("/console/requestClasses/remove", "entry", "draft");
    submit("/console/upstreams/remove", "entry", "engines");
    submit("/console/review");
    assertThat(page.body(), containsString("upstreams: remove engines"));
    submit("/console/publish");
    assertThat(fleet.authority.current().upstreams().size(), is(1));
    submit("/console/customers/save", "id", "acme", "policy", "TIGHT");
    assertThat(page.body(), containsString("there is such an entry already"));
  }

  @Test
  void reportsConflictingChangeAndRebasesTheDraft() throws Exception {
    submit(
        "/console/customers/save",
        "entry",
        "acme",
        "id",
        "acme",
        "name",
        "Mine",
        "policy",
        "TIGHT");
    Customer conflicting =
        new Customer(CustomerId.of("acme"), "Theirs", List.of(), null, SpendPolicy.TIGHT);
    fleet.authority.publish(ConfigurationSamples.change(0, ConfigurationSamples.put(conflicting)));
    submit("/console/publish");
    assertThat(page.statusCode(), is(409));
    assertThat(page.body(), containsString("/customers/acme was changed at offset 1"));
    assertThat(acme().name(), is("Theirs"));
    submit("/console/rebase");
    assertThat(page.body(), allOf(containsString("Theirs"), containsString("Mine")));
    submit("/console/publish");
    assertThat(acme().name(), is("Mine"));
  }

  @Test
  void keepsTheDraftWhenTheLogIsUnavailable() throws Exception {
    submit("/console/customers/save", "id", "beta", "policy", "TIGHT");
    fleet.logUnavailable = true;
    submit("/console/publish");
    assertThat(page.statusCode(), is(503));
    assertThat(page.body(), containsString("may or may not be published"));
    fleet.logUnavailable = false;
    submit("/console/publish");
    assertThat(page.body(), containsString("in force from offset 1 on"));
  }

  @Test
  void rejectsFormsOfOtherSessionsAndOrigins() throws Exception {
    String validForm = form("id", "evil", "policy", "TIGHT");
    for (String invalidForm :
        List.of(
            validForm.replace(hiddenField("formToken"), ""),
            validForm.replace(hiddenField("formToken"), "x"),
            "id=evil&draft=0")) {
      HttpResponse<String> rejected = postForm(host, "/console/customers/save", invalidForm);
      assertThat(rejected.statusCode(), is(403));
      assertThat(rejected.body(), containsString("does not come from this session"));
    }
    String otherFormToken = hiddenField("formToken");
    signIn(FakeFleet.OTHER_TOKEN);
    HttpResponse<String> fromOtherSession =
        postForm(
            host, "/console/publish", form().replace(hiddenField("formToken"), otherFormToken));
    assertThat(fromOtherSession.statusCode(), is(403));
    HttpResponse<String> crossSite =
        postForm(
            host, "/console/sign-in", "token=" + FakeFleet.TOKEN, "Origin", "http://evil.example");
    assertThat(crossSite.statusCode(), is(403));
  }

  @Test
  void rejectsForgedAndExpiredSessions() throws Exception {
    String validCookie = cookie;
    for (String invalidCookie :
        List.of(
            "", "snipeloom_session=x", validCookie + "x", validCookie.replaceFirst("=..", "=AA"))) {
      cookie = invalidCookie;
      assertThat(invalidCookie, get("/console").statusCode(), is(303));
    }
    cookie = validCookie;
    assertThat(get("/console").statusCode(), is(200));
    now.updateAndGet(time -> time.plus(Duration.ofMinutes(30)));
    assertThat(get("/console").statusCode(), is(303));
    assertThat(postForm(host, "/console/publish", form()).statusCode(), is(303));
    assertThat(postForm(host, "/console/sign-in", "token=customer-key").statusCode(), is(401));
  }

  @Test
  void servesTheSameSessionAndDraftFromAnotherInstance() throws Exception {
    submit("/console/customers/save", "id", "beta", "policy", "TIGHT");
    HttpResponse<String> review = postForm(otherHost, "/console/review", form());
    assertThat(review.body(), containsString("customers: add beta"));
  }

  @Test
  void escapesEnteredText() throws Exception {
    String markup = "\"><script>alert('x')</script>&";
    submit(
        "/console/customers/save",
        "id",
        "acme",
        "entry",
        "acme",
        "name",
        markup,
        "policy",
        "TIGHT");
    assertThat(page.body(), not(containsString("<script")));
    submit("/console/customers/edit", "entry", "acme");
    assertThat(
        page.body(),
        containsString("&quot;&gt;&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;&amp;"));
    submit("/console/review");
    assertThat(page.body(), not(containsString("<script")));
    submit("/console/customers/save", "id", markup, "policy", markup, "apiKeyHashes", markup);
    assertThat(page.statusCode(), is(422));
    assertThat(page.body(), not(containsString("<script")));
    assertThat(
        page.headers().firstValue("Content-Security-Policy").get(),
        containsString("default-src 'none'"));
  }

  @Test
  void showsNewApiKeysOnceAndStoresTheirHashes() throws Exception {
    submit("/console/customers/edit", "entry", "acme");
    submit("/console/customers/key", "entry", "acme", "id", "acme", "policy", "TIGHT");
    Matcher secret = Pattern.compile("sk-[0-9a-f]{64}").matcher(page.body());
    assertThat(secret.find(), is(true));
    String hash = OperatorTokens.hash(secret.group());
    assertThat(page.body(), containsString(hash));
    submit(
        "/console/customers/save",
        "entry",
        "acme",
        "id",
        "acme",
        "policy",
        "TIGHT",
        "apiKeyHashes",
        hash);
    assertThat(page.body(), not(containsString(secret.group())));
    submit("/console/publish");
    assertThat(acme().apiKeyHashes(), is(List.of(hash)));
  }

  @Test
  void rejectsMalformedDrafts() throws Exception {
    for (String draft : List.of("%%%", "e30", "9", "x".repeat(300_000))) {
      String form = form().replaceFirst("draft=[^&]*", "draft=" + draft.replace("%", "%25"));
      HttpResponse<String> rejected = postForm(host, "/console/review", form);
      assertThat(rejected.statusCode() >= 400 && rejected.statusCode() <= 503, is(true));
      assertThat(rejected.body(), containsString("role=\"alert\""));
    }
  }

  @Test
  void listsEntriesAfterAnIdentifier() throws Exception {
    submit("/console/requestClasses", "after", "draft");
    assertThat(page.body(), allOf(containsString("Edit vote"), not(containsString("Edit draft"))));
    assertThat(page.body(), containsString("Urgency: NOT_REPEATABLE; Upstream: desk"));
    submit("/console/requestClasses", "after", "-");
    assertThat(page.statusCode(), is(400));
  }

  @Test
  void labelsEachField() throws Exception {
    for (SectionForm section : SectionForm.values()) {
      submit(section.path() + "/edit");
      for (FormField field : section.fields()) {
        assertThat(page.body(), containsString("<label for=\"%s\">".formatted(field.htmlId())));
        assertThat(page.body(), containsString(" id=\"%s\"".formatted(field.htmlId())));
      }
    }
  }
}
