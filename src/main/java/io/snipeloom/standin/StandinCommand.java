package io.snipeloom.standin;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command that runs one stand-in in this process. */
@Command(
    name = "standin",
    description = "Runs a stand-in for a service of the platform or for a back end.",
    mixinStandardHelpOptions = true,
    subcommands = {
      StandinCommand.LogCommand.class,
      StandinCommand.InstancesCommand.class,
      StandinCommand.EngineCommand.class,
      StandinCommand.ServiceCommand.class,
      StandinCommand.WeightsCommand.class
    })
public final class StandinCommand {

  /** Creates the command. */
  public StandinCommand() {}

  /** Prints the ports and blocks until the process is terminated. */
  private static int serve(String name, int port, int adminPort, Runnable stop)
      throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stop.run();
                  ended.countDown();
                }));
    System.out.println(
        "event=standin_started kind=" + name + " port=" + port + " adminPort=" + adminPort);
    ended.await();
    return 0;
  }

  /** The options that all stand-ins share. */
  static final class AddressOptions {
    @Option(names = "--ip", defaultValue = "127.0.0.1", description = "IP address to listen on.")
    private String ip;

    @Option(names = "--port", required = true, description = "TCP port; 0 chooses a free one.")
    private int port;

    @Option(
        names = "--admin-port",
        defaultValue = "0",
        description = "TCP port for administration; 0 chooses a free one.")
    private int adminPort;

    StandinAddress address() {
      return new StandinAddress(ip, port, adminPort);
    }
  }

  @Command(name = "log", description = "Runs the log service.", mixinStandardHelpOptions = true)
  static final class LogCommand implements Callable<Integer> {
    @Mixin private AddressOptions options;

    @Override
    public Integer call() throws InterruptedException {
      LogStandin log = LogStandin.of(options.address());
      log.start();
      return serve("log", log.port(), log.adminPort(), log::stop);
    }
  }

  @Command(
      name = "instances",
      description = "Runs the instance list.",
      mixinStandardHelpOptions = true)
  static final class InstancesCommand implements Callable<Integer> {
    @Mixin private AddressOptions options;

    @Override
    public Integer call() throws InterruptedException {
      InstancesStandin list = InstancesStandin.of(options.address());
      list.start();
      return serve("instances", list.port(), list.adminPort(), list::stop);
    }
  }

  @Command(name = "engine", description = "Runs a model engine.", mixinStandardHelpOptions = true)
  static final class EngineCommand implements Callable<Integer> {
    @Mixin private AddressOptions options;

    @Option(names = "--model", description = "Name of a loaded model; can be repeated.")
    private List<String> models = EngineSettings.standard().models();

    @Option(names = "--batch-size", description = "Maximum number of requests in the batch.")
    private int batchSize = EngineSettings.standard().batchSize();

    @Option(names = "--max-queued", description = "Maximum number of queued requests.")
    private int maxQueued = EngineSettings.standard().maxQueued();

    @Option(names = "--token-millis", description = "Milliseconds between two tokens of a request.")
    private int tokenMillis = EngineSettings.standard().tokenMillis();

    @Option(
        names = "--answer-tokens",
        description = "Number of tokens in an answer; a request can only lower it.")
    private int answerTokens = EngineSettings.standard().answerTokens();

    @Option(
        names = "--prefill-micros",
        description = "Microseconds to process an uncached prompt token.")
    private int prefillMicros = EngineSettings.standard().prefillMicros();

    @Option(names = "--cache-blocks", description = "Capacity of the prefix cache, in blocks.")
    private int cacheBlocks = EngineSettings.standard().cacheBlocks();

    @Option(names = "--crash-marker", description = "A prompt with this text crashes the engine.")
    private String crashMarker = EngineSettings.standard().crashMarker();

    @Option(names = "--crash-down-millis", description = "Milliseconds of outage after a crash.")
    private int crashDownMillis = EngineSettings.standard().crashDownMillis();

    @Option(names = "--crash-exits", description = "A crash ends the process with exit code 70.")
    private boolean crashExits;

    @Option(
        names = "--ignore-fencing",
        description = "Applies orders with outdated fencing numbers.")
    private boolean ignoresFencing;

    @Override
    public Integer call() throws InterruptedException {
      EngineStandin engine = EngineStandin.of(options.address(), settings());
      engine.start();
      return serve("engine", engine.port(), engine.adminPort(), engine::stop);
    }

    private EngineSettings settings() {
      return new EngineSettings(
          models,
          batchSize,
          maxQueued,
          tokenMillis,
          answerTokens,
          prefillMicros,
          cacheBlocks,
          crashMarker,
          crashDownMillis,
          crashExits,
          ignoresFencing);
    }
  }

  @Command(name = "service", description = "Runs a plain service.", mixinStandardHelpOptions = true)
  static final class ServiceCommand implements Callable<Integer> {
    @Mixin private AddressOptions options;

    @Option(
        names = "--name",
        defaultValue = "service",
        description = "Service name in the responses.")
    private String name;

    @Override
    public Integer call() throws InterruptedException {
      ServiceStandin service = ServiceStandin.of(options.address(), name);
      service.start();
      return serve("service", service.port(), service.adminPort(), service::stop);
    }
  }

  @Command(
      name = "weights",
      description = "Runs the weight store.",
      mixinStandardHelpOptions = true)
  static final class WeightsCommand implements Callable<Integer> {
    @Mixin private AddressOptions options;

    @Option(
        names = "--file-bytes",
        defaultValue = "67108864",
        description = "Size of each file in bytes.")
    private long fileBytes;

    @Option(names = "--bytes-per-second", defaultValue = "16777216", description = "Rate.")
    private long bytesPerSecond;

    @Override
    public Integer call() throws InterruptedException {
      WeightsStandin store = WeightsStandin.of(options.address(), fileBytes, bytesPerSecond);
      store.start();
      return serve("weights", store.port(), store.adminPort(), store::stop);
    }
  }
}
