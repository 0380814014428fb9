package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** The sections of the configuration document, with their names in JSON. */
public enum ConfigurationSection {
  CUSTOMERS("customers"),
  BUDGETS("budgets"),
  TOP_UPS("topUps"),
  UPSTREAMS("upstreams"),
  REQUEST_CLASSES("requestClasses");

  private final String text;

  ConfigurationSection(String text) {
    this.text = text;
  }

  /**
   * Returns the section with the given name in JSON.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} if the name is unknown
   */
  @JsonCreator
  public static ConfigurationSection parse(String text) {
    return Arrays.stream(values())
        .filter(section -> section.text.equals(text))
        .findFirst()
        .orElseThrow(
            () ->
                SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, "unknown section " + text));
  }

  /** Returns the name of the section in JSON. */
  @JsonValue
  public String text() {
    return text;
  }
}
