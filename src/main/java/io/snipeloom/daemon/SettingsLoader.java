package io.snipeloom.daemon;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads a settings file and checks it against the JSON Schema of its role.
 *
 * <p>One error reports all invalid and unknown keys with their locations. Stateless and
 * thread-safe.
 */
public final class SettingsLoader {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private SettingsLoader() {}

  /**
   * Reads and validates a settings file.
   *
   * @param <T> the type of the settings
   * @param file the JSON file
   * @param type the record class of the settings
   * @param schemaResource the class path resource of the JSON Schema, such as {@code
   *     /schemas/router-settings.json}
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} and the location of each
   *     error
   */
  public static <T> T load(Path file, Class<T> type, String schemaResource) {
    JsonNode tree = read(file);
    Set<ValidationMessage> errors = schema(schemaResource).validate(tree);
    if (!errors.isEmpty()) {
      String details =
          errors.stream()
              .map(ValidationMessage::getMessage)
              .sorted()
              .collect(Collectors.joining("; "));
      throw invalid(file, details);
    }
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (IOException e) {
      throw invalid(file, e.getMessage());
    }
  }

  private static JsonNode read(Path file) {
    try {
      return MAPPER.readTree(Files.readAllBytes(file));
    } catch (IOException e) {
      throw invalid(file, e.getMessage()).withCause(e);
    }
  }

  private static JsonSchema schema(String resource) {
    try (InputStream input = SettingsLoader.class.getResourceAsStream(resource)) {
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(input);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot read " + resource).withCause(e);
    }
  }

  private static SnipeloomException invalid(Path file, String details) {
    return SnipeloomException.of(ErrorCode.INVALID_SETTINGS, file + ": " + details)
        .withOrigin("settings", "");
  }
}
