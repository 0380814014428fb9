package io.snipeloom.daemon;

import io.snipeloom.standin.LoadCommand;
import io.snipeloom.standin.StandinCommand;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The {@code snipeloom} command, which runs the daemons and the tools for operators. */
@Command(
    name = "snipeloom",
    description = "Routes language-model traffic that is paid from prepaid token budgets.",
    mixinStandardHelpOptions = true,
    versionProvider = SnipeloomVersion.class,
    subcommands = {
      EdgeCommand.class,
      RouterCommand.class,
      ConfigCommand.class,
      BudgetCommand.class,
      StatusCommand.class,
      LedgerCommand.class,
      SidecarCommand.class,
      StandinCommand.class,
      LoadCommand.class,
      CompletionCommand.class,
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:invalid input, refused change, or a fault found by an audit",
      "2:wrong command line",
      "3:no instance answered, or it could not reach the log; try again"
    })
public final class SnipeloomCommand implements Runnable {
  private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

  /** One line for each event: time, level, the event's key=value pairs, and any stack trace. */
  private static final String LOG_FORMAT = "time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n";

  @Spec private CommandSpec spec;

  /**
   * Runs the command and exits with its exit code.
   *
   * @param args the arguments of the command line
   */
  public static void main(String[] args) {
    System.setProperty(LOG_FORMAT_PROPERTY, LOG_FORMAT);
    System.exit(commandLine().execute(args));
  }

  /** Returns the command line, whose output can be redirected before it is executed. */
  public static CommandLine commandLine() {
    return new CommandLine(new SnipeloomCommand())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(SnipeloomCommand::report);
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is required");
  }

  private static int report(
      Exception exception, CommandLine commandLine, CommandLine.ParseResult result)
      throws Exception {
    if (!(exception instanceof SnipeloomException error)) {
      throw exception;
    }
    PrintWriter err = commandLine.getErr();
    err.println("error: code=%s message=\"%s\"".formatted(error.code().text(), error.getMessage()));
    for (Violation violation : error.violations()) {
      err.println("  %s: %s".formatted(violation.pointer(), violation.message()));
    }
    err.flush();
    return ExitCode.of(error.code()).value();
  }
}
