package io.snipeloom.daemon;

import io.micronaut.http.HttpHeaders;
import io.snipeloom.protocol.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Selects the headers of an answer that are passed on to the caller. */
final class ResponseHeaders {
  private static final Set<String> PASSED =
      Set.of(
          "content-type",
          "content-language",
          "cache-control",
          "etag",
          "last-modified",
          "location",
          "retry-after");

  private ResponseHeaders() {}

  /**
   * Returns the headers to pass on.
   *
   * @param headers the headers of the back end
   * @return the headers, with names in lower case
   */
  static List<Header> of(HttpHeaders headers) {
    List<Header> passed = new ArrayList<>();
    headers.forEachValue(
        (name, value) -> {
          String lowerCase = name.toLowerCase(Locale.ROOT);
          if (PASSED.contains(lowerCase)) {
            passed.add(new Header(lowerCase, value));
          }
        });
    return passed;
  }
}
