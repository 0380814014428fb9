package io.snipeloom.daemon;

import io.snipeloom.edge.EdgeMain;
import io.snipeloom.edge.EdgeSettings;
import io.snipeloom.platform.ConfigurationDecoder;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs an edge instance on the users' platform, or checks its files without running it. */
@Command(
    name = "edge",
    description = "Runs an entry instance on the users' platform, or checks its files.",
    mixinStandardHelpOptions = true)
final class EdgeCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--settings", paramLabel = "FILE", description = "The settings, in JSON.")
  private Path settings;

  @Option(names = "--check", description = "Check the settings and the configuration, and end.")
  private boolean check;

  @Option(
      names = "--configuration",
      paramLabel = "FILE",
      description = "A configuration document to check before it is published.")
  private Path configuration;

  @Override
  public Integer call() {
    if (settings == null && configuration == null) {
      throw new picocli.CommandLine.ParameterException(
          spec.commandLine(), "--settings or --configuration is required");
    }
    PrintWriter out = spec.commandLine().getOut();
    if (settings != null && (check || configuration != null)) {
      out.println("settings of " + EdgeSettings.parse(settings).instance() + " are valid");
    }
    if (configuration != null) {
      out.println(summary(checked(ConfigurationDecoder.decode(read(configuration)))));
    }
    if (!check && configuration == null) {
      EdgeMain.main(new String[] {settings.toString()});
      awaitTermination();
    }
    out.flush();
    return 0;
  }

  /** Rejects a configuration of which an instance would leave out or change anything. */
  private static FleetConfiguration checked(FleetConfiguration configuration) {
    if (!configuration.problems().isEmpty()) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_CONFIGURATION, String.join("; ", configuration.problems()));
    }
    return configuration;
  }

  private static String summary(FleetConfiguration configuration) {
    return "configuration version %d is valid: %d customers"
        .formatted(configuration.version(), configuration.customers().size());
  }

  private static byte[] read(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, "cannot read " + file)
          .withCause(e);
    }
  }

  private static void awaitTermination() {
    try {
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
