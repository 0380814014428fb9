package io.snipeloom.state;

import java.util.Comparator;

/**
 * The method and path prefix of the plain HTTP calls that belong to a request class.
 *
 * @param method the HTTP method, in upper case
 * @param pathPrefix the path prefix, which starts with a slash
 */
public record Route(String method, String pathPrefix) implements Comparable<Route> {
  private static final Comparator<Route> ORDER =
      Comparator.comparing(Route::pathPrefix, Comparator.nullsFirst(Comparator.naturalOrder()))
          .thenComparing(Route::method, Comparator.nullsFirst(Comparator.naturalOrder()));

  @Override
  public int compareTo(Route other) {
    return ORDER.compare(this, other);
  }
}
