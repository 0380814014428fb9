package io.snipeloom.daemon;

import io.snipeloom.coordination.FleetStatus;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shows the state of the fleet as seen by the instance that responds. */
@Command(
    name = "status",
    description = "Shows the state of the fleet as seen by the instance that responds.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;
  @Mixin private AdminOptions options;

  @Override
  public Integer call() {
    try (AdminClient client = options.client()) {
      print(spec.commandLine().getOut(), client.get("/admin/v1/status", FleetStatus.class));
    }
    return ExitCode.OK.value();
  }

  private static void print(PrintWriter out, FleetStatus status) {
    out.println(
        "instance=%s zone=%s ready=%s applied=%d configuration=%d log_age_millis=%d"
            .formatted(
                status.instance(),
                status.zone(),
                status.ready(),
                status.appliedOffset(),
                status.configurationOffset(),
                status.logAgeMillis()));
    for (FleetStatus.Sidecar sidecar : status.sidecars()) {
      out.println(
          "  sidecar=%s zone=%s usable=%s running=%d queued=%d load_age_millis=%d"
              .formatted(
                  sidecar.instance(),
                  sidecar.zone(),
                  sidecar.usable(),
                  sidecar.running(),
                  sidecar.queued(),
                  sidecar.loadAgeMillis()));
    }
    out.flush();
  }
}
