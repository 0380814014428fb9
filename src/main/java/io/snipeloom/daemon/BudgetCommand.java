package io.snipeloom.daemon;

import io.snipeloom.coordination.BudgetBalance;
import io.snipeloom.coordination.HolderBalance;
import io.snipeloom.state.BudgetId;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows the balances of budgets. */
@Command(
    name = "budget",
    description = "Shows the balances of budgets.",
    mixinStandardHelpOptions = true)
final class BudgetCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is required");
  }

  @Command(
      name = "show",
      description = "Prints the balance of one budget, or of all.",
      mixinStandardHelpOptions = true)
  int show(
      @Mixin AdminOptions options,
      @Parameters(paramLabel = "BUDGET", arity = "0..1", description = "the budget")
          String budget) {
    PrintWriter out = spec.commandLine().getOut();
    try (AdminClient client = options.client()) {
      if (budget != null) {
        String path = "/admin/v1/budgets/" + AdminPages.percentEncoded(BudgetId.of(budget).value());
        print(out, client.get(path, BudgetBalance.class));
      } else {
        AdminPages.balances(client, balance -> print(out, balance));
      }
    }
    out.flush();
    return ExitCode.OK.value();
  }

  private static void print(PrintWriter out, BudgetBalance balance) {
    out.println(
        ("budget=%s customer=%s as_of=%d topped_up=%d pool=%d held=%d consumed=%d billed=%d"
                + " stranded=%d")
            .formatted(
                balance.budget(),
                balance.customer(),
                balance.asOfOffset(),
                balance.toppedUpTokens(),
                balance.poolTokens(),
                balance.holders().stream().mapToLong(HolderBalance::heldTokens).sum(),
                balance.consumedTokens(),
                balance.billedTokens(),
                balance.strandedTokens()));
    for (HolderBalance holder : balance.holders()) {
      out.println(
          "  holder=%s held=%d closed=%s"
              .formatted(holder.holder(), holder.heldTokens(), holder.closed()));
    }
  }
}
