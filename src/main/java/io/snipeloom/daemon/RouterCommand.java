package io.snipeloom.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a router until the process is terminated or the router fails. */
@Command(
    name = "router",
    description =
        "Runs an entry instance, which accepts requests of callers and serves the console.",
    mixinStandardHelpOptions = true)
final class RouterCommand implements Callable<Integer> {
  private static final int EXIT_RESTART_REQUIRED = 4;

  @Option(
      names = "--settings",
      required = true,
      paramLabel = "FILE",
      description = "The settings, in JSON.")
  private Path settings;

  @Override
  public Integer call() throws InterruptedException {
    RouterDaemon daemon = RouterDaemon.of(RouterSettings.parse(settings));
    CountDownLatch failed = new CountDownLatch(1);
    daemon.onFailure(failed::countDown);
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "shutdown"));
    daemon.start();
    failed.await();
    return EXIT_RESTART_REQUIRED;
  }
}
