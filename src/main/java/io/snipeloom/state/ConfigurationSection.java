package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** The sections of the configuration document, with their names in its JSON form. */
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
   * Returns the section with this JSON name.
   *
   * @param text the JSON name
   * @return the section
   * @throws SnipeloomException with {@link ErrorCode#INVALID_CONFIGURATION} for an unknown name
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

  /**
   * Returns the JSON name.
   *
   * @return the JSON name
   */
  @JsonValue
  public String text() {
    return text;
  }
}
