package io.snipeloom.daemon;

import io.micronaut.http.HttpHeaders;
import io.snipeloom.protocol.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Selects the headers of a back end's response that are forwarded to the caller. */
final class ResponseHeaders {
  private static final Set<String> FORWARDED =
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
   * Returns the headers to forward, with names in lower case.
   *
   * @param headers the headers of the back end's response
   */
  static List<Header> of(HttpHeaders headers) {
    List<Header> forwarded = new ArrayList<>();
    headers.forEachValue(
        (name, value) -> {
          String lowerCase = name.toLowerCase(Locale.ROOT);
          if (FORWARDED.contains(lowerCase)) {
            forwarded.add(new Header(lowerCase, value));
          }
        });
    return forwarded;
  }
}
