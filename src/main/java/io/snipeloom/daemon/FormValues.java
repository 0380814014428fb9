package io.snipeloom.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.LinkedHashMap;
import java.util.Map;

/** The values of a submitted form. Immutable and thread-safe. */
final class FormValues {
  private static final int MAX_FIELDS = 64;
  private static final FormValues EMPTY = new FormValues(Map.of());

  private final Map<String, String> texts;

  private FormValues(Map<String, String> texts) {
    this.texts = texts;
  }

  static FormValues empty() {
    return EMPTY;
  }

  static FormValues parse(String body) {
    Map<String, String> texts = new LinkedHashMap<>();
    new QueryStringDecoder(body, UTF_8, false, MAX_FIELDS)
        .parameters()
        .forEach((name, values) -> texts.put(name, values.get(0)));
    return new FormValues(texts);
  }

  FormValues with(String name, String text) {
    Map<String, String> copy = new LinkedHashMap<>(texts);
    copy.put(name, text);
    return new FormValues(copy);
  }

  /** Returns the text of a field, or an empty text if the field is absent. */
  String text(String name) {
    return texts.getOrDefault(name, "");
  }
}
