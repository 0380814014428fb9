package io.snipeloom.daemon;

import java.util.List;

/**
 * A field of a form in the console.
 *
 * @param name the path of the value within the entry, such as {@code route/method}
 * @param label the label shown next to the field
 * @param hint a help text; empty if none is needed
 * @param kind how the value is entered
 * @param options the values to choose from; empty if any text is allowed
 */
record FormField(String name, String label, String hint, Kind kind, List<String> options) {

  /** How a value is entered and how it is written in JSON. */
  enum Kind {
    TEXT,
    NUMBER,
    LINES,
    CHOICE,
    FLAG
  }

  static FormField text(String name, String label, String hint) {
    return new FormField(name, label, hint, Kind.TEXT, List.of());
  }

  static FormField number(String name, String label, String hint) {
    return new FormField(name, label, hint, Kind.NUMBER, List.of());
  }

  static FormField lines(String name, String label, String hint) {
    return new FormField(name, label, hint, Kind.LINES, List.of());
  }

  static FormField flag(String name, String label) {
    return new FormField(name, label, "", Kind.FLAG, List.of());
  }

  static FormField choice(String name, String label, String hint, List<String> options) {
    return new FormField(name, label, hint, Kind.CHOICE, options);
  }

  String htmlId() {
    return "field-" + name.replace('/', '-');
  }

  /** Returns whether a pointer relative to the entry refers to this field or a part of it. */
  boolean contains(String pointerInEntry) {
    return pointerInEntry.equals("/" + name) || pointerInEntry.startsWith("/" + name + "/");
  }
}
