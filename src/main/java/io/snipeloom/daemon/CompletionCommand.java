package io.snipeloom.daemon;

import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a completion script for the shell. */
@Command(
    name = "completion",
    description = "Prints a completion script for bash and zsh; use: . <(snipeloom completion)",
    mixinStandardHelpOptions = true)
final class CompletionCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().getOut().print(AutoComplete.bash("snipeloom", spec.root().commandLine()));
    spec.commandLine().getOut().flush();
  }
}
