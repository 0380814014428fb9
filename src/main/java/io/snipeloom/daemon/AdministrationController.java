package io.snipeloom.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import io.snipeloom.coordination.BillLine;
import io.snipeloom.coordination.BudgetBalance;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.HttpHost;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Serves the budget balances, the ledger and the fleet status, and executes operator actions. */
@Controller("/admin/v1")
@Requires(property = HttpHost.SURFACE, value = Administration.SURFACE)
@ExecuteOn(TaskExecutors.IO)
class AdministrationController {
  private static final String DEFAULT_LIMIT = "100";
  private static final int MAX_FINGERPRINT_CHARACTERS = 128;
  private static final int MAX_SUBJECT_CHARACTERS = 200;

  private final Administration administration;

  AdministrationController(Administration administration) {
    this.administration = administration;
  }

  @Get("/budgets")
  HttpResponse<byte[]> budgets(
      @QueryValue(defaultValue = "") String after,
      @QueryValue(defaultValue = DEFAULT_LIMIT) int limit) {
    int pageSize = AdminResponses.checkedPageSize(limit);
    BudgetId start = after.isEmpty() ? null : BudgetId.of(after);
    List<BudgetBalance> balances = administration.budgets().balances(start, pageSize + 1);
    boolean isLast = balances.size() <= pageSize;
    List<BudgetBalance> page = isLast ? balances : balances.subList(0, pageSize);
    String next = isLast ? null : page.get(page.size() - 1).budget().value();
    return AdminResponses.json(new BalancePage(page, next));
  }

  @Get("/budgets/{id}")
  HttpResponse<byte[]> budget(String id) {
    return administration
        .budgets()
        .balance(BudgetId.of(id))
        .map(AdminResponses::json)
        .orElseThrow(() -> AdminResponses.notFound("budget " + id));
  }

  @Get("/ledger")
  HttpResponse<byte[]> ledger(
      @QueryValue(defaultValue = "0") long from,
      @QueryValue(defaultValue = DEFAULT_LIMIT) int limit) {
    if (from < 0) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "from must not be negative");
    }
    List<BillLine> lines =
        administration.ledger().lines(from, AdminResponses.checkedPageSize(limit));
    long next = lines.isEmpty() ? from : lines.get(lines.size() - 1).line() + 1;
    return AdminResponses.json(new LedgerPage(lines, next));
  }

  @Get("/status")
  HttpResponse<byte[]> status() {
    return AdminResponses.json(administration.status().status());
  }

  @Post("/holders/{incarnation}/write-off")
  CompletionStage<HttpResponse<byte[]>> writeOff(HttpRequest<?> request, String incarnation) {
    return offsetResponse(
        administration
            .actions()
            .writeOff(Incarnation.of(incarnation), OperatorFilter.operator(request)));
  }

  @Post("/convictions/{fingerprint}/lift")
  CompletionStage<HttpResponse<byte[]>> lift(HttpRequest<?> request, String fingerprint) {
    if (fingerprint.length() > MAX_FINGERPRINT_CHARACTERS) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "the fingerprint is too long");
    }
    return offsetResponse(
        administration.actions().liftConviction(fingerprint, OperatorFilter.operator(request)));
  }

  @Post("/orders")
  CompletionStage<HttpResponse<byte[]>> order(HttpRequest<?> request, @Body OrderBody body) {
    boolean hasSubject = body.subject() != null && !body.subject().isBlank();
    if (body.target() == null || body.action() == null || !hasSubject) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_REQUEST, "target, action and subject are required");
    }
    if (body.subject().length() > MAX_SUBJECT_CHARACTERS) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "the subject is too long");
    }
    return offsetResponse(
        administration
            .actions()
            .order(
                body.target(),
                new EngineOrder(body.action(), body.subject()),
                OperatorFilter.operator(request)));
  }

  private static CompletionStage<HttpResponse<byte[]>> offsetResponse(
      CompletionStage<Long> offset) {
    return offset.thenApply(value -> AdminResponses.json(new OffsetBody(value)));
  }
}
