package io.snipeloom.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * An element of an HTML page. Every text and attribute value is escaped when the page is rendered;
 * markup cannot be added as text. Not thread-safe.
 */
final class Html {
  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]*");
  private static final Set<String> VOID_ELEMENTS = Set.of("input", "link", "meta", "br");

  private final String name;
  private final Map<String, String> attributes = new LinkedHashMap<>();
  private final List<Object> content = new ArrayList<>();

  private Html(String name) {
    this.name = checkedName(name);
  }

  static Html element(String name) {
    return new Html(name);
  }

  static Html element(String name, String text) {
    return new Html(name).text(text);
  }

  Html with(String attribute, String value) {
    attributes.put(checkedName(attribute), value);
    return this;
  }

  Html withFlag(String attribute, boolean isSet) {
    return isSet ? with(attribute, attribute) : this;
  }

  Html text(String text) {
    content.add(text);
    return this;
  }

  Html add(Html... children) {
    content.addAll(List.of(children));
    return this;
  }

  Html add(Collection<Html> children) {
    content.addAll(children);
    return this;
  }

  String render() {
    StringBuilder out = new StringBuilder();
    render(out);
    return out.toString();
  }

  private void render(StringBuilder out) {
    out.append('<').append(name);
    attributes.forEach(
        (attribute, value) -> {
          out.append(' ').append(attribute).append("=\"");
          escape(out, value);
          out.append('"');
        });
    out.append('>');
    if (VOID_ELEMENTS.contains(name)) {
      return;
    }
    for (Object part : content) {
      if (part instanceof Html child) {
        child.render(out);
      } else {
        escape(out, part.toString());
      }
    }
    out.append("</").append(name).append('>');
  }

  private static void escape(StringBuilder out, String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      switch (c) {
        case '&' -> out.append("&amp;");
        case '<' -> out.append("&lt;");
        case '>' -> out.append("&gt;");
        case '"' -> out.append("&quot;");
        case '\'' -> out.append("&#39;");
        default -> out.append(c);
      }
    }
  }

  private static String checkedName(String name) {
    if (!NAME.matcher(name).matches()) {
      throw new IllegalArgumentException("not a valid HTML name: " + name);
    }
    return name;
  }
}
