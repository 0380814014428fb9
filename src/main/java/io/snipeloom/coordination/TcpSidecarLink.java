package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.client.Instance;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.transport.FrameClient;
import io.snipeloom.transport.FrameConnection;
import io.snipeloom.transport.FrameListener;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * A link over TCP that reconnects with randomized exponential backoff and re-attaches open
 * attempts.
 *
 * <p>Thread-safe: all state changes are confined to one thread of the {@link FrameClient}, which
 * also calls the listeners. May be started and stopped once.
 */
public final class TcpSidecarLink implements SidecarLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Message.Heartbeat NO_LOAD = new Message.Heartbeat(0, 0, 0);
  private static final int MAX_GAPS = 3;

  private final Instance instance;
  private final FrameClient client;
  private final LinkSettings settings;
  private final LongSupplier nanoClock;
  private final MetricRegistry metrics;
  private final ScheduledExecutorService executor;
  private final RandomGenerator random;
  private final Map<AttemptId, OpenAnswer> answers = new HashMap<>();
  private final PendingQueries queries;

  private volatile FrameConnection connection;
  private volatile boolean leaving;
  private volatile Message.Heartbeat load = NO_LOAD;
  private volatile long loadNanos;
  private Incarnation lastIncarnation;
  private long lossCount;
  private int failures;
  private boolean stopped;

  private TcpSidecarLink(
      Instance instance,
      FrameClient client,
      LinkSettings settings,
      LongSupplier nanoClock,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.instance = instance;
    this.client = client;
    this.settings = settings;
    this.nanoClock = nanoClock;
    this.metrics = metrics;
    this.executor = client.nextExecutor();
    this.random = random;
    this.queries = new PendingQueries(instance.id().value());
    this.loadNanos = nanoClock.getAsLong();
  }

  /**
   * Returns a link that is not started yet.
   *
   * @param instance the sidecar slot
   * @param client opens the connections
   * @param nanoClock a monotonic clock in nanoseconds
   * @param random the source of jitter
   * @param metrics the registry for metrics
   */
  public static TcpSidecarLink of(
      Instance instance,
      FrameClient client,
      LinkSettings settings,
      LongSupplier nanoClock,
      RandomGenerator random,
      MetricRegistry metrics) {
    return new TcpSidecarLink(instance, client, settings, nanoClock, random, metrics);
  }

  /** Starts connecting after a random delay. */
  public void start() {
    executor.execute(this::scheduleConnect);
  }

  /** Closes the connection. Open attempts are reported as lost. */
  public void stop() {
    executor.execute(this::stopNow);
  }

  @Override
  public Instance instance() {
    return instance;
  }

  @Override
  public Optional<Incarnation> incarnation() {
    return Optional.ofNullable(connection).map(FrameConnection::peer);
  }

  @Override
  public boolean isUsable() {
    FrameConnection current = connection;
    return current != null && !leaving && current.isWritable();
  }

  @Override
  public Message.Heartbeat load() {
    return load;
  }

  @Override
  public long loadAgeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - loadNanos);
  }

  @Override
  public void dispatch(Message.Dispatch dispatch, AnswerListener listener) {
    executor.execute(() -> dispatchNow(dispatch, listener));
  }

  @Override
  public void attach(Message.Attach attach, AnswerListener listener) {
    executor.execute(() -> attachNow(attach, listener));
  }

  @Override
  public void acknowledge(AttemptId attempt, long nextSequence) {
    executor.execute(() -> sendIfConnected(new Message.AnswerAck(attempt, nextSequence)));
  }

  @Override
  public void cancel(AttemptId attempt) {
    executor.execute(() -> cancelNow(attempt));
  }

  @Override
  public CompletionStage<Message.CallStatus> query(Message.CallQuery query) {
    CompletableFuture<Message.CallStatus> answer = new CompletableFuture<>();
    executor.execute(() -> queryNow(query, answer));
    return answer;
  }

  private void dispatchNow(Message.Dispatch dispatch, AnswerListener listener) {
    OpenAnswer answer = new OpenAnswer(dispatch.attempt(), listener, 0);
    if (!isUsable()) {
      answer.lost(notSent());
      return;
    }
    if (answers.putIfAbsent(dispatch.attempt(), answer) != null) {
      metrics.meter("link.dispatches.duplicate").mark();
      answer.lost(
          SnipeloomException.of(ErrorCode.INVARIANT_VIOLATED, "the attempt was already sent")
              .withOrigin("dispatch", instance.id().value()));
      return;
    }
    connection.send(dispatch);
  }

  private SnipeloomException notSent() {
    ErrorCode code = leaving ? ErrorCode.LEAVING : ErrorCode.CONNECTION_LOST;
    return SnipeloomException.of(code, "the sidecar takes no new work; the attempt was not sent")
        .withOrigin("dispatch", instance.id().value());
  }

  private void attachNow(Message.Attach attach, AnswerListener listener) {
    OpenAnswer answer = new OpenAnswer(attach.attempt(), listener, attach.fromSequence());
    if (connection == null) {
      answer.lost("the sidecar is not connected");
      return;
    }
    OpenAnswer previous = answers.put(attach.attempt(), answer);
    if (previous != null) {
      answer.cursor().restartAt(attach.fromSequence());
      previous.lost("the answer is received by a later reader");
    }
    connection.send(attach);
  }

  private void cancelNow(AttemptId attempt) {
    OpenAnswer answer = answers.get(attempt);
    if (answer != null) {
      answer.cancel();
    }
    sendIfConnected(new Message.Cancel(attempt));
  }

  private void queryNow(Message.CallQuery query, CompletableFuture<Message.CallStatus> answer) {
    if (connection == null) {
      queries.fail(answer);
    } else {
      connection.send(queries.add(query, answer));
    }
  }

  private void sendIfConnected(Message message) {
    if (connection != null) {
      connection.send(message);
    }
  }

  private void scheduleConnect() {
    if (!stopped) {
      long delay = ReconnectPacing.reconnectDelay(failures++, random).toMillis();
      var unused = executor.schedule(this::connect, delay, TimeUnit.MILLISECONDS);
    }
  }

  private void connect() {
    if (!stopped) {
      client.connect(instance.address(), instance.port(), executor, new Events());
    }
  }

  private void stopNow() {
    stopped = true;
    if (connection != null) {
      connection.close("the link was stopped");
      connection = null;
    }
    queries.failAll();
    loseAnswers("the link was stopped");
  }

  private void handleOpened(FrameConnection opened) {
    if (stopped) {
      opened.close("the link was stopped");
      return;
    }
    if (lastIncarnation != null && !lastIncarnation.equals(opened.peer())) {
      loseAnswers("the sidecar was replaced by " + opened.peer());
    }
    if (!opened.peer().equals(lastIncarnation)) {
      leaving = false;
    }
    lastIncarnation = opened.peer();
    connection = opened;
    failures = 0;
    answers.values().forEach(this::reattach);
  }

  private void reattach(OpenAnswer answer) {
    metrics.meter("link.answers.reattached").mark();
    connection.send(answer.attach());
    if (answer.isCancelled()) {
      connection.send(new Message.Cancel(answer.attach().attempt()));
    }
  }

  private void handleClosed(FrameConnection closed, SnipeloomException reason) {
    if (closed != connection) {
      return;
    }
    connection = null;
    long lossNumber = ++lossCount;
    logger.atInfo().log(
        "%s",
        LogLine.of("link.lost")
            .with("sidecar", closed.peer())
            .with("open", answers.size())
            .with("reason", reason.getMessage()));
    queries.failAll();
    var unused =
        executor.schedule(
            () -> loseAnswersUnlessReconnected(lossNumber),
            settings.reconnectTimeout().toMillis(),
            TimeUnit.MILLISECONDS);
    scheduleConnect();
  }

  private void loseAnswersUnlessReconnected(long lossNumber) {
    if (connection == null && lossNumber == lossCount) {
      loseAnswers("the connection to the sidecar was not re-established in time");
    }
  }

  private void loseAnswers(String reason) {
    List<OpenAnswer> lost = new ArrayList<>(answers.values());
    answers.clear();
    lost.forEach(answer -> answer.lost(reason));
  }

  private void handleMessage(Message message) {
    if (message instanceof Message.Heartbeat heartbeat) {
      load = heartbeat;
      loadNanos = nanoClock.getAsLong();
    } else if (message instanceof Message.Leaving) {
      leaving = true;
    } else if (message instanceof Message.AnswerHead head) {
      OpenAnswer answer = answers.get(head.attempt());
      if (isNext(answer, answer == null ? null : answer.cursor().accept(head))) {
        answer.head(head);
      }
    } else if (message instanceof Message.AnswerChunk chunk) {
      OpenAnswer answer = answers.get(chunk.attempt());
      if (isNext(answer, answer == null ? null : answer.cursor().accept(chunk))) {
        answer.chunk(chunk);
      }
    } else if (message instanceof Message.AnswerEnd end) {
      OpenAnswer answer = answers.get(end.attempt());
      if (isNext(answer, answer == null ? null : answer.cursor().accept(end))) {
        answers.remove(end.attempt());
        answer.end(end);
      }
    } else if (message instanceof Message.Refused refused) {
      handleRefused(refused);
    } else if (message instanceof Message.CallStatus status) {
      queries.complete(status);
    } else {
      connection.close("unexpected message from a sidecar");
    }
  }

  private boolean isNext(OpenAnswer answer, AnswerCursor.Verdict verdict) {
    if (answer == null || verdict == AnswerCursor.Verdict.DROP) {
      metrics.meter("link.frames.dropped").mark();
      return false;
    }
    if (verdict == AnswerCursor.Verdict.GAP) {
      handleGap(answer);
      return false;
    }
    return true;
  }

  private void handleGap(OpenAnswer answer) {
    metrics.meter("link.frames.gaps").mark();
    if (answer.incrementGaps() > MAX_GAPS) {
      answers.remove(answer.attach().attempt());
      answer.lost("frames of the answer are missing");
    } else {
      answer.cursor().restartAt(answer.cursor().next());
      connection.send(answer.attach());
    }
  }

  private void handleRefused(Message.Refused refused) {
    OpenAnswer answer = answers.remove(refused.attempt());
    if (answer == null) {
      metrics.meter("link.frames.dropped").mark();
    } else {
      answer.refused(refused);
    }
  }

  /** Forwards the events of one connection to the link. */
  private final class Events implements FrameListener {
    @Override
    public void onOpened(FrameConnection opened) {
      handleOpened(opened);
    }

    @Override
    public void onMessage(FrameConnection from, Message message) {
      if (from == connection) {
        handleMessage(message);
      } else {
        metrics.meter("link.frames.dropped").mark();
      }
    }

    @Override
    public void onWritable(FrameConnection writable) {}

    @Override
    public void onClosed(FrameConnection closed, SnipeloomException reason) {
      handleClosed(closed, reason);
    }

    @Override
    public void onFailed(SnipeloomException reason) {
      scheduleConnect();
    }
  }
}
