package io.snipeloom.daemon;

import io.snipeloom.coordination.BillLine;
import java.io.PrintWriter;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Exports and audits the ledger. */
@Command(
    name = "ledger",
    description = "Exports and audits the ledger.",
    mixinStandardHelpOptions = true)
final class LedgerCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is required");
  }

  @Command(
      name = "export",
      description = "Prints the bill lines as comma-separated values with a heading.",
      mixinStandardHelpOptions = true)
  int export(@Mixin AdminOptions options) {
    PrintWriter out = spec.commandLine().getOut();
    out.println("line,offset,customer,key,budget,requestClass,tokens,issuedAtMillis");
    try (AdminClient client = options.client()) {
      AdminPages.lines(client, line -> out.println(row(line)));
    }
    out.flush();
    return ExitCode.OK.value();
  }

  @Command(
      name = "audit",
      description =
          "Checks that each request is billed once and that lines and balances add up to the"
              + " token.",
      mixinStandardHelpOptions = true)
  int audit(@Mixin AdminOptions options) {
    LedgerAudit audit = new LedgerAudit();
    try (AdminClient client = options.client()) {
      AdminPages.balances(client, audit::add);
      AdminPages.lines(client, audit::add);
    }
    PrintWriter out = spec.commandLine().getOut();
    List<String> faults = audit.faults();
    faults.forEach(fault -> out.println("fault: " + fault));
    out.println(
        "lines=%d tokens=%d faults=%d"
            .formatted(audit.lineCount(), audit.totalTokens(), faults.size()));
    out.flush();
    return (faults.isEmpty() ? ExitCode.OK : ExitCode.REFUSED).value();
  }

  private static String row(BillLine line) {
    return String.join(
        ",",
        Long.toString(line.line()),
        Long.toString(line.offset()),
        line.key().customer().value(),
        quoted(line.key().token()),
        line.budget().value(),
        line.requestClass().value(),
        Long.toString(line.tokens()),
        Long.toString(line.issuedAtMillis()));
  }

  private static String quoted(String text) {
    return '"' + text.replace("\"", "\"\"") + '"';
  }
}
