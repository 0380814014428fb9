package io.snipeloom.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a sidecar until the process is terminated. */
@Command(
    name = "sidecar",
    description = "Runs the sidecar of one back end.",
    mixinStandardHelpOptions = true)
final class SidecarCommand implements Callable<Integer> {
  @Option(names = "--settings", required = true, description = "The JSON file with the settings.")
  private Path settings;

  @Override
  public Integer call() throws InterruptedException {
    SidecarDaemon daemon = SidecarDaemon.of(SidecarSettings.parse(settings));
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.stop();
                  stopped.countDown();
                },
                "sidecar-stop"));
    daemon.start();
    stopped.await();
    return 0;
  }
}
