package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * Reads and writes configuration documents and changes as JSON. Input is validated against the JSON
 * Schema.
 *
 * <p>Thread-safe. Malformed JSON, a duplicate key and each violation of the schema are reported
 * with a JSON Pointer.
 */
public final class ConfigurationJson {
  private static final int MAX_NESTING = 16;
  private static final int MAX_NUMBER_CHARACTERS = 40;
  private static final int MAX_STRING_CHARACTERS = 8 << 20;
  private static final int MAX_NAME_CHARACTERS = 8 << 10;

  private static final JsonMapper MAPPER = mapper();
  private static final ObjectWriter WRITER = MAPPER.writer(printer());

  private ConfigurationJson() {}

  private static JsonMapper mapper() {
    StreamReadConstraints constraints =
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING)
            .maxNumberLength(MAX_NUMBER_CHARACTERS)
            .maxStringLength(MAX_STRING_CHARACTERS)
            .maxNameLength(MAX_NAME_CHARACTERS)
            .build();
    return JsonMapper.builder(JsonFactory.builder().streamReadConstraints(constraints).build())
        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
        .serializationInclusion(JsonInclude.Include.NON_NULL)
        .build();
  }

  private static DefaultPrettyPrinter printer() {
    DefaultIndenter indenter = new DefaultIndenter("  ", "\n");
    return new DefaultPrettyPrinter().withObjectIndenter(indenter).withArrayIndenter(indenter);
  }

  /**
   * Parses a whole document.
   *
   * @param json the JSON text in UTF-8
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} and the violations if
   *     the text is malformed or does not match the schema
   */
  public static ConfigurationForm parseDocument(byte[] json) {
    return bind(parseValidated(json, ConfigurationSchema.document()), ConfigurationForm.class);
  }

  /**
   * Parses a change.
   *
   * @param json the JSON text in UTF-8, without the operator
   * @param operator the name of the operator who made the change
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} and the violations if
   *     the text is malformed or does not match the schema
   */
  public static ConfigurationChange parseChange(byte[] json, String operator) {
    ObjectNode node = (ObjectNode) parseValidated(json, ConfigurationSchema.change());
    node.put("operator", operator);
    return bind(node, ConfigurationChange.class);
  }

  /**
   * Renders a document with the entries of each section in the order of their identifiers.
   *
   * @return the JSON text in UTF-8
   */
  public static byte[] render(ConfigurationDocument document) {
    return render((Object) ConfigurationForm.of(document));
  }

  /**
   * Renders a change without its operator, in the format that {@link #parseChange} reads.
   *
   * @return the JSON text in UTF-8
   */
  public static byte[] render(ConfigurationChange change) {
    ObjectNode node = MAPPER.valueToTree(change);
    node.remove("operator");
    return render((Object) node);
  }

  /**
   * Renders any value of this package, such as an edit or an entry.
   *
   * @return the JSON text in UTF-8
   */
  public static byte[] render(Object value) {
    try {
      return WRITER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode parseValidated(byte[] json, ConfigurationSchema schema) {
    JsonNode node = read(json);
    List<Violation> violations = schema.violations(node);
    if (!violations.isEmpty()) {
      throw invalid(violations);
    }
    return node;
  }

  private static JsonNode read(byte[] json) {
    try (JsonParser parser = MAPPER.createParser(json)) {
      return read(parser);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode read(JsonParser parser) throws IOException {
    try {
      JsonNode node = MAPPER.readTree(parser);
      if (node == null || node.isMissingNode()) {
        throw invalid(List.of(new Violation("", "the JSON text is empty")));
      }
      if (parser.nextToken() != null) {
        throw invalid(List.of(new Violation("", "unexpected text after the JSON value")));
      }
      return node;
    } catch (JsonProcessingException e) {
      String pointer = parser.getParsingContext().pathAsPointer().toString();
      throw invalid(List.of(new Violation(ConfigurationSchema.truncated(pointer), describe(e))))
          .withCause(e);
    }
  }

  private static <T> T bind(JsonNode node, Class<T> type) {
    try {
      return MAPPER.treeToValue(node, type);
    } catch (JsonProcessingException e) {
      throw invalid(List.of(new Violation(pointer(e), describe(e)))).withCause(e);
    }
  }

  private static String pointer(JsonProcessingException e) {
    if (!(e instanceof JsonMappingException mapping)) {
      return "";
    }
    StringBuilder pointer = new StringBuilder();
    for (JsonMappingException.Reference step : mapping.getPath()) {
      pointer.append('/');
      pointer.append(step.getFieldName() == null ? step.getIndex() : step.getFieldName());
    }
    return pointer.toString();
  }

  private static String describe(JsonProcessingException e) {
    JsonLocation location = e.getLocation();
    String position =
        location == null
            ? ""
            : " (line %d, column %d)".formatted(location.getLineNr(), location.getColumnNr());
    return ConfigurationSchema.truncated(e.getOriginalMessage()) + position;
  }

  private static SnipeloomException invalid(List<Violation> violations) {
    Violation first = violations.get(0);
    String more = violations.size() == 1 ? "" : "; and %d more".formatted(violations.size() - 1);
    return SnipeloomException.of(
            ErrorCode.INVALID_CONFIGURATION,
            "%s: %s%s".formatted(first.pointer(), first.message(), more))
        .withOrigin("parse", "")
        .withViolations(violations);
  }
}
