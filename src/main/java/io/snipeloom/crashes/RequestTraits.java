package io.snipeloom.crashes;

import java.util.ArrayList;
import java.util.List;

/**
 * What a request may have in common with others that crash replicas. Immutable.
 *
 * @param request identifies the request over all attempts of its caller
 * @param parts the parts of its prompt that other requests may share
 */
public record RequestTraits(RequestTrait request, List<RequestTrait> parts) {

  /** Checks the kinds and makes an immutable copy of the parts. */
  public RequestTraits {
    if (request.kind() != RequestTrait.Kind.REQUEST) {
      throw new IllegalArgumentException("not the trait of a request: " + request);
    }
    parts = List.copyOf(parts);
    if (!parts.stream().allMatch(part -> part.kind() == RequestTrait.Kind.PART)) {
      throw new IllegalArgumentException("not all traits are of parts: " + parts);
    }
  }

  /** Returns the parts and the request. */
  List<RequestTrait> all() {
    List<RequestTrait> all = new ArrayList<>(parts);
    all.add(request);
    return all;
  }
}
