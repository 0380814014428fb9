package io.snipeloom.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.HttpHost;

/** Rejects requests to the administration API that lack the bearer token of an operator. */
@ServerFilter("/admin/**")
@Requires(property = HttpHost.SURFACE, value = Administration.SURFACE)
class OperatorFilter {
  static final String OPERATOR = "snipeloom.operator";
  private static final String SCHEME = "Bearer ";
  private static final int MAX_TOKEN_CHARACTERS = 512;

  private final Administration administration;

  OperatorFilter(Administration administration) {
    this.administration = administration;
  }

  @RequestFilter
  void authenticate(HttpRequest<?> request) {
    String header = request.getHeaders().get(HttpHeaders.AUTHORIZATION);
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      throw unauthenticated("the bearer token of an operator is required");
    }
    String token = header.substring(SCHEME.length()).strip();
    if (token.length() > MAX_TOKEN_CHARACTERS) {
      throw unauthenticated("the token is not known");
    }
    String operator =
        administration
            .operators()
            .operator(token)
            .orElseThrow(() -> unauthenticated("the token is not known"));
    request.setAttribute(OPERATOR, operator);
  }

  static String operator(HttpRequest<?> request) {
    return request
        .getAttribute(OPERATOR, String.class)
        .orElseThrow(() -> unauthenticated("an operator is required"));
  }

  private static SnipeloomException unauthenticated(String message) {
    return SnipeloomException.of(ErrorCode.UNAUTHENTICATED, message).withOrigin("authenticate", "");
  }
}
