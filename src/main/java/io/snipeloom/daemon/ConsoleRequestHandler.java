package io.snipeloom.daemon;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.cookie.Cookie;
import io.micronaut.http.cookie.SameSite;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.SnipeloomException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Handles the requests for console pages: checks that the operator is signed in and that submitted
 * forms come from a page of the same session, and builds the responses. Thread-safe.
 */
final class ConsoleRequestHandler {
  static final String COOKIE = "snipeloom_session";
  private static final URI SIGN_IN_PAGE = URI.create("/console/sign-in");
  private static final String CONTENT_SECURITY_POLICY =
      "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none';"
          + " frame-ancestors 'none'";

  private final Administration administration;
  private final ConsoleSecurity security;

  ConsoleRequestHandler(Administration administration, ConsoleSecurity security) {
    this.administration = administration;
    this.security = security;
  }

  ConsoleSecurity security() {
    return security;
  }

  /** Responds with a page, or redirects to the sign-in page if nobody is signed in. */
  HttpResponse<String> read(HttpRequest<?> request, Function<ConsoleContext, Html> view) {
    Optional<ConsoleSession> session = session(request);
    if (session.isEmpty()) {
      return HttpResponse.seeOther(SIGN_IN_PAGE);
    }
    ConsoleContext context = context(session.get(), "");
    return pageResponse(context, view.apply(context));
  }

  /** Checks the token of a submitted form, then runs the action. */
  HttpResponse<String> submit(
      HttpRequest<?> request,
      String body,
      BiFunction<ConsoleContext, FormValues, HttpResponse<String>> action) {
    return submitAsync(
            request,
            body,
            (context, values) -> CompletableFuture.completedFuture(action.apply(context, values)))
        .toCompletableFuture()
        .join();
  }

  CompletionStage<HttpResponse<String>> submitAsync(
      HttpRequest<?> request,
      String body,
      BiFunction<ConsoleContext, FormValues, CompletionStage<HttpResponse<String>>> action) {
    Optional<ConsoleSession> session = session(request);
    if (session.isEmpty()) {
      return CompletableFuture.completedFuture(HttpResponse.seeOther(SIGN_IN_PAGE));
    }
    try {
      FormValues values = FormValues.parse(body == null ? "" : body);
      security.checkFormToken(session.get(), values.text(ConsolePages.FORM_TOKEN));
      return action.apply(context(session.get(), values.text(ConsolePages.DRAFT)), values);
    } catch (SnipeloomException e) {
      MutableHttpResponse<String> response =
          responseWithoutSession(
              ConsolePages.page("Not done", ConsolePages.notice(ConsoleErrors.summary(e))));
      return CompletableFuture.completedFuture(response.status(e.code().httpStatus()));
    }
  }

  private ConsoleContext context(ConsoleSession session, String draft) {
    ConfigurationDocument current = administration.configuration().current();
    return new ConsoleContext(
        session,
        security.formToken(session),
        current,
        Draft.parse(draft, session.operator(), current));
  }

  private Optional<ConsoleSession> session(HttpRequest<?> request) {
    return request
        .getCookies()
        .findCookie(COOKIE)
        .flatMap(cookie -> security.session(cookie.getValue()))
        .filter(session -> administration.operators().isOperator(session.operator()));
  }

  /** Returns the response that shows a page and extends the session. */
  MutableHttpResponse<String> pageResponse(ConsoleContext context, Html page) {
    ConsoleSession renewed = security.renewed(context.session());
    return responseWithoutSession(page)
        .cookie(cookie(security.cookie(renewed), security.idleTimeout()));
  }

  /** Returns the response that shows a page without a session. */
  MutableHttpResponse<String> responseWithoutSession(Html page) {
    return HttpResponse.ok("<!DOCTYPE html>" + page.render())
        .contentType(MediaType.TEXT_HTML_TYPE)
        .characterEncoding("utf-8")
        .header("Content-Security-Policy", CONTENT_SECURITY_POLICY)
        .header("X-Content-Type-Options", "nosniff")
        .header("Referrer-Policy", "same-origin")
        .header(HttpHeaders.CACHE_CONTROL, "no-store");
  }

  Cookie cookie(String value, Duration age) {
    return Cookie.of(COOKIE, value)
        .path("/console")
        .httpOnly(true)
        .secure(security.secureCookies())
        .sameSite(SameSite.Strict)
        .maxAge(age);
  }
}
