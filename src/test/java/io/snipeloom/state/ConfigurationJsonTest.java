package io.snipeloom.state;

import static io.snipeloom.state.ConfigurationSamples.change;
import static io.snipeloom.state.ConfigurationSamples.customer;
import static io.snipeloom.state.ConfigurationSamples.document;
import static io.snipeloom.state.ConfigurationSamples.put;
import static io.snipeloom.state.ConfigurationSamples.remove;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationJsonTest {
  private static final String DOCUMENT_TEMPLATE =
      "{'customers':[%s],'budgets':[%s],'topUps':[%s],'upstreams':[%s],'requestClasses':[%s]}";

  private static byte[] bytes(String json) {
    return json.replace('\'', '"').getBytes(UTF_8);
  }

  private static byte[] json(
      String customers, String budgets, String topUps, String upstreams, String classes) {
    return bytes(DOCUMENT_TEMPLATE.formatted(customers, budgets, topUps, upstreams, classes));
  }

  private static List<Violation> expectRefusal(byte[] json) {
    SnipeloomException error =
        assertThrows(SnipeloomException.class, () -> ConfigurationJson.parseDocument(json));
    assertThat(error.code(), is(ErrorCode.INVALID_CONFIGURATION));
    assertThat("the error message is short", error.getMessage().length(), lessThan(1_000));
    return error.violations();
  }

  private static List<String> pointers(List<Violation> violations) {
    return violations.stream().map(Violation::pointer).distinct().toList();
  }

  @Test
  void parsesRenderedDocument() {
    byte[] json = ConfigurationJson.render(document());
    ConfigurationForm form = ConfigurationJson.parseDocument(json);
    assertThat(form, is(ConfigurationForm.of(document())));
    assertThat(ConfigurationDiff.between(document(), 0, form).edits(), is(List.of()));
  }

  @Test
  void parsesRenderedChange() {
    ConfigurationChange change =
        change(3, put(customer("acme")), remove(ConfigurationSection.BUDGETS, "b"));
    assertThat(
        ConfigurationJson.parseChange(ConfigurationJson.render(change), "amina"), is(change));
  }

  @Test
  void reportsAllSchemaViolations() {
    List<Violation> violations =
        expectRefusal(
            json(
                "{'id':'-'},{'id':'b','colour':'red','policy':'LOOSE'}",
                "{'id':'b'}",
                "{'id':'t','budget':'b','tokens':0},{'id':'t','budget':'b','tokens':'9'}",
                "{'id':'u','kind':'TEAPOT'}",
                ""));
    assertThat(
        pointers(violations),
        containsInAnyOrder(
            "/customers/0/id",
            "/customers/1/colour",
            "/customers/1/policy",
            "/budgets/0/customer",
            "/topUps/0/tokens",
            "/topUps/1/tokens",
            "/upstreams/0/kind"));
  }

  @ParameterizedTest
  @CsvSource({
    "9223372036854775808",
    "-9223372036854775809",
    "1e400",
    "1.5",
    "-1",
    "true",
    "null",
    "[]",
    "99999999999999999999999999999999999999999999999999",
    "1e999999999"
  })
  void refusesTokensThatAreNotPositiveLongs(String tokens) {
    List<Violation> violations =
        expectRefusal(json("", "", "{'id':'t','budget':'b','tokens':" + tokens + "}", "", ""));
    assertThat(pointers(violations), contains("/topUps/0/tokens"));
  }

  @Test
  void refusesDuplicateKeys() {
    assertThat(
        pointers(expectRefusal(json("{'id':'a','id':'b'}", "", "", "", ""))),
        contains("/customers/0/id"));
  }

  @Test
  void refusesLongNamesWithShortMessages() {
    String name = "x".repeat(1 << 20);
    assertThat(
        pointers(expectRefusal(json("{'id':'a','name':'" + name + "'}", "", "", "", ""))),
        contains("/customers/0/name"));
    assertThat(
        pointers(expectRefusal(json("{'id':'" + name + "'}", "", "", "", ""))),
        contains("/customers/0/id"));
  }

  @Test
  void refusesDeepNesting() {
    String deep = "[".repeat(10_000) + "]".repeat(10_000);
    List<Violation> violations = expectRefusal(bytes("{'customers':" + deep + "}"));
    assertThat(violations.get(0).message(), containsString("nesting depth"));
    assertThat(violations.get(0).pointer(), startsWith("/customers/0/0"));
  }

  @Test
  void refusesMalformedAndEmptyText() {
    assertThat(expectRefusal(bytes("")).size(), is(1));
    assertThat(expectRefusal(bytes("{'customers':[")).size(), is(1));
    assertThat(pointers(expectRefusal(bytes("[]"))), contains(""));
    assertThat(expectRefusal(bytes("{} {}")).size(), is(1));
  }

  @Test
  void refusesDuplicateIdentifiers() {
    ConfigurationForm form =
        ConfigurationJson.parseDocument(json("{'id':'a'},{'id':'a'}", "", "", "", ""));
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () -> ConfigurationDiff.between(ConfigurationDocument.empty(), -1, form));
    assertThat(pointers(error.violations()), contains("/customers/1/id"));
  }

  @Test
  void translatesPointersToTheTargetDocument() {
    ConfigurationForm form =
        ConfigurationJson.parseDocument(
            json("{'id':'a'}", "{'id':'a1','customer':'a'},{'id':'b','customer':'x'}", "", "", ""));
    ConfigurationDiff diff = ConfigurationDiff.between(ConfigurationDocument.empty(), -1, form);
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () ->
                ConfigurationDocument.empty()
                    .with(0, new ConfigurationChange(-1, "amina", diff.edits())));
    assertThat(
        pointers(diff.withTargetPointers(error.violations())), contains("/budgets/1/customer"));
  }

  @Test
  void neverRemovesTopUps() {
    ConfigurationForm withoutTopUps =
        new ConfigurationForm(
            ConfigurationForm.of(document()).customers(),
            ConfigurationForm.of(document()).budgets(),
            List.of(),
            ConfigurationForm.of(document()).upstreams(),
            ConfigurationForm.of(document()).requestClasses());
    assertThat(
        "a top-up added after the base is kept",
        ConfigurationDiff.between(document(), -1, withoutTopUps).edits(),
        is(List.of()));
    SnipeloomException error =
        assertThrows(
            SnipeloomException.class,
            () -> ConfigurationDiff.between(document(), 0, withoutTopUps));
    assertThat(pointers(error.violations()), contains("/topUps"));
  }
}
