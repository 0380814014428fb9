package io.snipeloom.standin;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command that runs one stand-in as a process. */
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

  /** Runs until the process is told to end. */
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

  /** The options of every stand-in. */
  static final class AddressOptions {
    @Option(names = "--ip", defaultValue = "127.0.0.1", description = "IP address to listen on.")
    private String ip;

    @Option(names = "--port", required = true, description = "TCP port; 0 for a free one.")
    private int port;

    @Option(names = "--admin-port", defaultValue = "0", description = "TCP port for faults.")
    private int adminPort;

    StandinAddress address() {
      return new StandinAddress(ip, port, adminPort);
    }
  }

  @Command(name = "log", description = "Runs the log.", mixinStandardHelpOptions = true)
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

    @Option(names = "--model", description = "A model that is loaded; may be repeated.")
    private List<String> models = EngineSettings.standard().models();

    @Option(names = "--batch-size", description = "Requests that generate at once.")
    private int batchSize = EngineSettings.standard().batchSize();

    @Option(names = "--max-queued", description = "Requests that may wait.")
    private int maxQueued = EngineSettings.standard().maxQueued();

    @Option(names = "--token-millis", description = "Time between two tokens of a request.")
    private int tokenMillis = EngineSettings.standard().tokenMillis();

    @Option(names = "--answer-tokens", description = "Tokens of an answer without a limit.")
    private int answerTokens = EngineSettings.standard().answerTokens();

    @Option(names = "--prefill-micros", description = "Time to read a prompt token.")
    private int prefillMicros = EngineSettings.standard().prefillMicros();

    @Option(names = "--cache-blocks", description = "Blocks of the prefix cache.")
    private int cacheBlocks = EngineSettings.standard().cacheBlocks();

    @Option(names = "--crash-marker", description = "Text of a prompt that crashes the engine.")
    private String crashMarker = EngineSettings.standard().crashMarker();

    @Option(names = "--crash-down-millis", description = "Time down after a crash.")
    private int crashDownMillis = EngineSettings.standard().crashDownMillis();

    @Option(names = "--crash-exits", description = "A crash ends the process with code 70.")
    private boolean crashExits;

    @Option(names = "--ignore-fencing", description = "Carries out orders with old numbers.")
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

    @Option(names = "--name", defaultValue = "service", description = "Name in its answers.")
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

    @Option(names = "--file-bytes", defaultValue = "67108864", description = "Size of a file.")
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
