package io.snipeloom.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.util.List;

/** Validates configuration documents or changes against the JSON Schema. Thread-safe. */
final class ConfigurationSchema {
  private static final int MAX_VIOLATIONS = 1_000;
  private static final int MAX_MESSAGE_CHARACTERS = 300;
  private static final String RESOURCE = "classpath:io/snipeloom/state/configuration.schema.json";
  private static final ConfigurationSchema DOCUMENT = new ConfigurationSchema("#");
  private static final ConfigurationSchema CHANGE = new ConfigurationSchema("#/$defs/change");

  private final JsonSchema schema;

  private ConfigurationSchema(String fragment) {
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder()
            .pathType(PathType.JSON_POINTER)
            .errorMessageKeyword("errorMessage")
            .build();
    this.schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(SchemaLocation.of(RESOURCE + fragment), config);
    schema.initializeValidators();
  }

  static ConfigurationSchema document() {
    return DOCUMENT;
  }

  static ConfigurationSchema change() {
    return CHANGE;
  }

  /** Returns the violations of the schema, at most 1,000. */
  List<Violation> violations(JsonNode node) {
    return schema.validate(node).stream()
        .limit(MAX_VIOLATIONS)
        .map(ConfigurationSchema::violation)
        .toList();
  }

  private static Violation violation(ValidationMessage message) {
    String pointer = message.getInstanceLocation().toString();
    String text = message.getMessage();
    String withoutPointer =
        text.startsWith(pointer + ": ") ? text.substring(pointer.length() + 2) : text;
    String property = message.getProperty() == null ? "" : '/' + escaped(message.getProperty());
    return new Violation(truncated(pointer + property), truncated(withoutPointer));
  }

  private static String escaped(String property) {
    return property.replace("~", "~0").replace("/", "~1");
  }

  static String truncated(String text) {
    return text.length() <= MAX_MESSAGE_CHARACTERS
        ? text
        : text.substring(0, MAX_MESSAGE_CHARACTERS) + "...";
  }
}
