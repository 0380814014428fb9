package io.snipeloom.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.snipeloom.state.ConfigurationEdit;
import io.snipeloom.state.ConfigurationEntry;
import io.snipeloom.state.ConfigurationJson;
import io.snipeloom.state.ConfigurationSection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** The form of each section: its fields, and the conversion between its values and an edit. */
enum SectionForm {
  CUSTOMERS(ConfigurationSection.CUSTOMERS, "Customers", "customer", "putCustomer"),
  BUDGETS(ConfigurationSection.BUDGETS, "Budgets", "budget", "putBudget"),
  TOP_UPS(ConfigurationSection.TOP_UPS, "Top-ups", "topUp", "addTopUp"),
  UPSTREAMS(ConfigurationSection.UPSTREAMS, "Upstreams", "upstream", "putUpstream"),
  REQUEST_CLASSES(
      ConfigurationSection.REQUEST_CLASSES, "Request classes", "requestClass", "putRequestClass");

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String INTEGER = "-?[0-9]{1,30}";

  private final ConfigurationSection section;
  private final String title;
  private final String entryName;
  private final String editName;

  SectionForm(ConfigurationSection section, String title, String entryName, String editName) {
    this.section = section;
    this.title = title;
    this.entryName = entryName;
    this.editName = editName;
  }

  static SectionForm of(String path) {
    return Arrays.stream(values())
        .filter(form -> form.section.text().equals(path))
        .findFirst()
        .orElseThrow(() -> AdminResponses.notFound("page of this name"));
  }

  static SectionForm of(ConfigurationSection section) {
    return of(section.text());
  }

  ConfigurationSection section() {
    return section;
  }

  String title() {
    return title;
  }

  List<FormField> fields() {
    return SectionFields.of(section);
  }

  String path() {
    return "/console/" + section.text();
  }

  /** Returns whether published entries can be changed and removed. */
  boolean isMutable() {
    return this != TOP_UPS;
  }

  /** Returns the values of the fields for an entry. */
  FormValues valuesOf(ConfigurationEntry entry) {
    JsonNode node = tree(ConfigurationJson.render(entry));
    FormValues values = FormValues.empty();
    for (FormField field : fields()) {
      values = values.with(field.name(), displayText(node.at("/" + field.name())));
    }
    return values;
  }

  /** Returns one line with the values of an entry, except its identifier and API key hashes. */
  String summary(ConfigurationEntry entry) {
    FormValues values = valuesOf(entry);
    return fields().stream()
        .filter(field -> !field.name().equals("id") && !field.name().equals("apiKeyHashes"))
        .filter(field -> !values.text(field.name()).isEmpty())
        .map(field -> field.label() + ": " + values.text(field.name()).replace('\n', ' '))
        .collect(Collectors.joining("; "));
  }

  private static String displayText(JsonNode node) {
    if (!node.isArray()) {
      return node.asText();
    }
    List<String> lines = new ArrayList<>();
    node.forEach(item -> lines.add(item.asText()));
    return String.join("\n", lines);
  }

  /**
   * Returns the edit with the entered values.
   *
   * @throws io.snipeloom.state.SnipeloomException with a violation for each field that does not
   *     match the schema
   */
  ConfigurationEdit edit(FormValues values, String operator) {
    ObjectNode change = MAPPER.createObjectNode().put("baseOffset", 0);
    ObjectNode edit = change.putArray("edits").addObject().put("edit", editName);
    ObjectNode entry = edit.putObject(entryName);
    for (FormField field : fields()) {
      String value = values.text(field.name()).strip();
      if (!value.isEmpty()) {
        put(entry, field, value);
      }
    }
    return ConfigurationJson.parseChange(bytes(change), operator).edits().get(0);
  }

  private static void put(ObjectNode entry, FormField field, String value) {
    int slash = field.name().indexOf('/');
    ObjectNode parent =
        slash < 0 ? entry : entry.withObject("/" + field.name().substring(0, slash));
    String key = field.name().substring(slash + 1);
    switch (field.kind()) {
      case NUMBER -> putNumber(parent, key, value);
      case LINES -> putLines(parent.putArray(key), value);
      case FLAG -> parent.put(key, true);
      default -> parent.put(key, value);
    }
  }

  private static void putNumber(ObjectNode parent, String key, String value) {
    if (value.matches(INTEGER)) {
      parent.put(key, new BigInteger(value));
    } else {
      parent.put(key, value);
    }
  }

  private static void putLines(ArrayNode array, String value) {
    value.lines().map(String::strip).filter(line -> !line.isEmpty()).forEach(array::add);
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode tree(byte[] json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
