package io.snipeloom.daemon;

import com.google.common.flogger.FluentLogger;
import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.snipeloom.transport.HttpHost;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/** Serves the sign-in page and the style sheet of the console, and signs operators in and out. */
@Controller("/console")
@Requires(property = HttpHost.SURFACE, value = Administration.SURFACE)
@Requires(beans = ConsoleSecurity.class)
@Consumes(MediaType.APPLICATION_FORM_URLENCODED)
class SignInController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String CSS = "text/css";
  private static final String STYLE =
      """
      body { font: 1rem/1.5 sans-serif; margin: 0 auto; max-width: 60rem; padding: 1rem; }
      nav form { display: flex; flex-wrap: wrap; gap: .5rem; border-bottom: 1px solid; \
      padding-bottom: 1rem; }
      label { display: block; font-weight: bold; margin-top: 1rem; }
      input, select, textarea { font: inherit; max-width: 100%; width: 30rem; }
      input[type=checkbox] { width: auto; }
      button { font: inherit; margin: .25rem .5rem .25rem 0; padding: .25rem .75rem; }
      table { border-collapse: collapse; margin-top: 1rem; width: 100%; }
      th, td { border: 1px solid; padding: .25rem .5rem; text-align: left; }
      pre { background: #f2f2f2; overflow: auto; padding: .5rem; }
      .hint { color: #444; margin: 0; }
      .error { color: #a00000; font-weight: bold; margin: 0; }
      .skip { left: -99rem; position: absolute; }
      .skip:focus { left: 1rem; }
      :focus { outline: 3px solid #0050b0; outline-offset: 2px; }
      """;

  private final Administration administration;
  private final ConsoleRequestHandler handler;

  SignInController(Administration administration, ConsoleSecurity security) {
    this.administration = administration;
    this.handler = new ConsoleRequestHandler(administration, security);
  }

  @Get("/style.css")
  @Produces(CSS)
  String style() {
    return STYLE;
  }

  @Get("/sign-in")
  HttpResponse<String> form() {
    return handler.responseWithoutSession(ConsolePages.signIn(""));
  }

  @Post("/sign-in")
  HttpResponse<String> signIn(HttpRequest<?> request, @Nullable @Body String body) {
    if (!isSameOrigin(request)) {
      return handler
          .responseWithoutSession(ConsolePages.signIn("This form was sent from another site."))
          .status(HttpStatus.FORBIDDEN);
    }
    String token = FormValues.parse(body == null ? "" : body).text("token").strip();
    Optional<String> operator = administration.operators().operator(token);
    if (operator.isEmpty()) {
      logger.atInfo().log("event=console.signin outcome=refused");
      return handler
          .responseWithoutSession(ConsolePages.signIn("The token is not known."))
          .status(HttpStatus.UNAUTHORIZED);
    }
    logger.atInfo().log("event=console.signin outcome=accepted operator=%s", operator.get());
    ConsoleSecurity security = handler.security();
    String cookie = security.cookie(security.start(operator.get()));
    return HttpResponse.<String>seeOther(URI.create("/console"))
        .cookie(handler.cookie(cookie, security.idleTimeout()));
  }

  @Post("/sign-out")
  HttpResponse<String> signOut(HttpRequest<?> request, @Nullable @Body String body) {
    return handler.submit(
        request,
        body,
        (context, values) ->
            HttpResponse.<String>seeOther(URI.create("/console/sign-in"))
                .cookie(handler.cookie("", Duration.ZERO)));
  }

  private static boolean isSameOrigin(HttpRequest<?> request) {
    String origin = request.getHeaders().get(HttpHeaders.ORIGIN);
    String host = request.getHeaders().get(HttpHeaders.HOST);
    return origin == null || origin.endsWith("://" + host);
  }
}
