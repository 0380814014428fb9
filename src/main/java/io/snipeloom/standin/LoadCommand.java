package io.snipeloom.standin;

import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command that loads an engine or a router on loopback and prints what it measured. */
@Command(
    name = "load",
    description = "Loads an engine or a router on loopback and prints times and rates.",
    mixinStandardHelpOptions = true)
public final class LoadCommand implements Callable<Integer> {
  private static final int EXIT_ERRORS = 1;

  @Option(names = "--url", required = true, description = "Base address, on loopback only.")
  private URI url;

  @Option(names = "--key", defaultValue = "", description = "API key of a customer.")
  private String key;

  @Option(names = "--model", defaultValue = "standin-model", description = "Model.")
  private String model;

  @Option(names = "--concurrency", defaultValue = "64", description = "Requests in flight.")
  private int concurrency;

  @Option(names = "--requests", defaultValue = "1000", description = "Most requests.")
  private int requests;

  @Option(names = "--seconds", defaultValue = "60", description = "Most time.")
  private int seconds;

  @Option(names = "--warm-up", defaultValue = "0", description = "Requests that do not count.")
  private int warmUp;

  @Option(names = "--stream", description = "Streams the answers.")
  private boolean stream;

  @Option(names = "--max-tokens", defaultValue = "32", description = "Tokens of an answer.")
  private int maxTokens;

  @Option(names = "--prompt-words", defaultValue = "40", description = "Words of a prompt.")
  private int promptWords;

  @Option(names = "--row", defaultValue = "", description = "Prints a table row of this name.")
  private String row;

  @Option(names = "--head", description = "Prints the head of the table first.")
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
    double taken = run(plan, warmUp, requests, results);
    print(results, taken);
    return results.errors() == 0 && results.answers() > 0 ? 0 : EXIT_ERRORS;
  }

  private static double run(LoadPlan plan, int first, int count, LoadResults results)
      throws InterruptedException {
    LoadRun run = LoadRun.of(plan, first, count, results);
    long start = System.nanoTime();
    run.start();
    run.await(plan.limit());
    double taken = (double) (System.nanoTime() - start) / TimeUnit.SECONDS.toNanos(1);
    run.stop();
    return taken;
  }

  private void print(LoadResults results, double taken) {
    PrintStream out = System.out;
    if (head) {
      out.println(LoadResults.TABLE_HEAD);
    }
    if (row.isEmpty()) {
      results.print(out, taken);
    } else {
      out.println(results.row(row, taken));
    }
  }
}
