package io.snipeloom.standin;

import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command that generates load on an engine or a router on loopback and prints latencies and
 * rates.
 */
@Command(
    name = "load",
    description =
        "Generates load on an engine or a router on loopback and prints latencies and rates.",
    mixinStandardHelpOptions = true)
public final class LoadCommand implements Callable<Integer> {
  private static final int EXIT_ERRORS = 1;

  @Option(
      names = "--url",
      required = true,
      description = "Base URL; its host must be a loopback address.")
  private URI url;

  @Option(names = "--key", defaultValue = "", description = "API key of a customer.")
  private String key;

  @Option(names = "--model", defaultValue = "standin-model", description = "Model.")
  private String model;

  @Option(
      names = "--concurrency",
      defaultValue = "64",
      description = "Number of requests in flight.")
  private int concurrency;

  @Option(
      names = "--requests",
      defaultValue = "1000",
      description = "Maximum number of measured requests.")
  private int requests;

  @Option(
      names = "--seconds",
      defaultValue = "60",
      description = "Maximum duration of the run in seconds.")
  private int seconds;

  @Option(
      names = "--warm-up",
      defaultValue = "0",
      description = "Number of requests sent before the measurement.")
  private int warmUp;

  @Option(names = "--stream", description = "Streams the answers.")
  private boolean stream;

  @Option(
      names = "--max-tokens",
      defaultValue = "32",
      description = "Maximum number of tokens in an answer.")
  private int maxTokens;

  @Option(
      names = "--prompt-words",
      defaultValue = "40",
      description = "Number of words in a prompt.")
  private int promptWords;

  @Option(
      names = "--row",
      defaultValue = "",
      description = "Prints a Markdown table row with this label.")
  private String row;

  @Option(names = "--head", description = "Prints the table header before the row.")
  private boolean head;

  /** Creates the command. */
  public LoadCommand() {}

  @Override
  public Integer call() throws InterruptedException {
    LoadPlan plan =
        new LoadPlan(
            url,
            key,
            model,
            concurrency,
            requests,
            Duration.ofSeconds(seconds),
            warmUp,
            stream,
            maxTokens,
            promptWords);
    if (warmUp > 0) {
      run(plan, 0, warmUp, new LoadResults());
    }
    LoadResults results = new LoadResults();
    double elapsedSeconds = run(plan, warmUp, requests, results);
    print(results, elapsedSeconds);
    return results.errors() == 0 && results.answers() > 0 ? 0 : EXIT_ERRORS;
  }

  private static double run(LoadPlan plan, int first, int count, LoadResults results)
      throws InterruptedException {
    LoadRun run = LoadRun.of(plan, first, count, results);
    long start = System.nanoTime();
    run.start();
    run.await(plan.limit());
    double elapsedSeconds = (double) (System.nanoTime() - start) / TimeUnit.SECONDS.toNanos(1);
    run.stop();
    return elapsedSeconds;
  }

  private void print(LoadResults results, double elapsedSeconds) {
    PrintStream out = System.out;
    if (head) {
      out.println(LoadResults.TABLE_HEAD);
    }
    if (row.isEmpty()) {
      results.print(out, elapsedSeconds);
    } else {
      out.println(results.row(row, elapsedSeconds));
    }
  }
}
