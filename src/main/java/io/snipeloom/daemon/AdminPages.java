package io.snipeloom.daemon;

import io.snipeloom.coordination.BillLine;
import io.snipeloom.coordination.BudgetBalance;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Reads the paginated lists of the administration API page by page. */
final class AdminPages {
  private static final int PAGE_SIZE = 1_000;

  private AdminPages() {}

  static String percentEncoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  static void balances(AdminClient client, Consumer<BudgetBalance> consumer) {
    String after = "";
    while (after != null) {
      BalancePage page =
          client.get(
              "/admin/v1/budgets?limit=%d&after=%s".formatted(PAGE_SIZE, percentEncoded(after)),
              BalancePage.class);
      page.balances().forEach(consumer);
      after = page.next();
    }
  }

  static void lines(AdminClient client, Consumer<BillLine> consumer) {
    long from = 0;
    LedgerPage page;
    do {
      page =
          client.get(
              "/admin/v1/ledger?limit=%d&from=%d".formatted(PAGE_SIZE, from), LedgerPage.class);
      page.lines().forEach(consumer);
      from = page.next();
    } while (!page.lines().isEmpty());
  }
}
