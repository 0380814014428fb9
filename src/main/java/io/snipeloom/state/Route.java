package io.snipeloom.state;

import java.util.Comparator;

/**
 * Selects the plain HTTP calls that belong to a request class.
 *
 * @param method the HTTP method in upper case
 * @param pathPrefix the prefix of the path, starting with a slash
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
