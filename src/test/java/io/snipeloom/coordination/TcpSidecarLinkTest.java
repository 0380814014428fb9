package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.client.Instance;
import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import io.snipeloom.transport.ByteDroppingProxy;
import io.snipeloom.transport.Eventually;
import io.snipeloom.transport.FrameClient;
import io.snipeloom.transport.FrameServer;
import io.snipeloom.transport.FrameSettings;
import io.snipeloom.transport.SharedKey;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a link to a sidecar over TCP on loopback, through a proxy that injects faults. */
class TcpSidecarLinkTest {
  private static final FrameSettings SETTINGS =
      FrameSettings.of(SharedKey.of("a shared key of tests"))
          .withHeartbeats(Duration.ofMillis(50), Duration.ofMillis(600));
  private static final int CHUNKS = 5;

  private final MetricRegistry metrics = new MetricRegistry();
  private final List<ServedSidecar> servedSidecars = new ArrayList<>();
  private final FrameClient client = FrameClient.of(Messages.ROUTER, SETTINGS, 1, metrics);
  private ServedSidecar servedSidecar;
  private ByteDroppingProxy proxy;
  private TcpSidecarLink link;

  @BeforeEach
  void start() throws IOException {
    servedSidecar = new ServedSidecar(Messages.SIDECAR);
    servedSidecars.add(servedSidecar);
    proxy = new ByteDroppingProxy(servedSidecar.server.port());
    Instance instance =
        new Instance(
            InstanceId.of("sidecar-1"),
            Instance.Role.SIDECAR,
            Zone.of("zone-a"),
            Messages.UPSTREAM,
            "127.0.0.1",
            proxy.port(),
            false);
    link =
        TcpSidecarLink.of(
            instance,
            client,
            new LinkSettings(Duration.ofSeconds(20)),
            System::nanoTime,
            new Random(7),
            metrics);
    link.start();
    Eventually.await("usable", this::isReady);
  }

  @AfterEach
  void stop() throws IOException {
    link.stop();
    client.stop();
    proxy.stop();
    servedSidecars.forEach(ServedSidecar::stop);
  }

  @Test
  void answerIsCompleteAndRunsOnceWhenConnectionClosesAtAnyStep() {
    for (int step = 0; step <= CHUNKS + 2; step++) {
      Received received = new Received();
      link.dispatch(Messages.dispatch(step + 1, Urgency.PROMPT), received);
      int index = step;
      Eventually.await("started", () -> servedSidecar.backEnd.calls.size() == index + 1);
      sendAnswer(servedSidecar.backEnd.calls.get(index), step, received, proxy::closeConnections);
      assertComplete(received, "connection closed at step " + step);
      Eventually.await("usable again", this::isReady);
    }
    assertThat(servedSidecar.backEnd.calls, hasSize(CHUNKS + 3));
  }

  @Test
  void silentConnectionIsReplacedAndAnswerContinues() {
    Received received = new Received();
    link.dispatch(Messages.dispatch(1, Urgency.PROMPT), received);
    Eventually.await("started", () -> servedSidecar.backEnd.calls.size() == 1);
    sendAnswer(servedSidecar.backEnd.calls.get(0), 2, received, proxy::dropBytes);
    assertComplete(received, "bytes dropped");
    assertThat(proxy.connectionCount(), is(2));
    assertThat(servedSidecar.backEnd.calls, hasSize(1));
    assertThat(metrics.meter("transport.connections.silent").getCount() > 0, is(true));
  }

  @Test
  void linkWithSilentConnectionAcceptsNoWork() {
    proxy.retarget(1);
    proxy.dropBytes();
    Eventually.await("not usable", () -> !link.isUsable());
    Received received = new Received();
    link.dispatch(Messages.dispatch(1, Urgency.PROMPT), received);
    Eventually.await("refused", () -> received.lost != null);
    assertThat(received.lost.runState(), is(RunState.NOT_RUN));
  }

  @Test
  void dispatchLostWithItsConnectionIsReportedAsNotRun() {
    Received received = new Received();
    proxy.dropBytes();
    link.dispatch(Messages.dispatch(1, Urgency.NOT_REPEATABLE), received);
    Eventually.await("refused", () -> received.refused != null);
    assertThat(received.refused.runState(), is(RunState.NOT_RUN));
    assertThat(servedSidecar.backEnd.calls, hasSize(0));
  }

  @Test
  void openAttemptHasUnknownOutcomeWhenSidecarIsReplaced() {
    Received received = new Received();
    link.dispatch(Messages.dispatch(1, Urgency.NOT_REPEATABLE), received);
    Eventually.await("started", () -> servedSidecar.backEnd.calls.size() == 1);
    ServedSidecar successor = new ServedSidecar(Incarnation.of("sidecar-1#s2"));
    servedSidecars.add(successor);
    proxy.retarget(successor.server.port());
    proxy.closeConnections();
    Eventually.await("lost", () -> received.lost != null);
    assertThat(received.lost.runState(), is(RunState.UNKNOWN));
    assertThat(successor.backEnd.calls, hasSize(0));
  }

  @Test
  void leavingSidecarGetsNoNewWorkAndFinishesOpenWork() {
    Received received = new Received();
    link.dispatch(Messages.dispatch(1, Urgency.PROMPT), received);
    Eventually.await("started", () -> servedSidecar.backEnd.calls.size() == 1);
    final var left = servedSidecar.sidecar.leave().toCompletableFuture();
    Eventually.await("not usable", () -> !link.isUsable());
    Received late = new Received();
    link.dispatch(Messages.dispatch(2, Urgency.PROMPT), late);
    Eventually.await("refused", () -> late.lost != null);
    assertThat(late.lost.code(), is(ErrorCode.LEAVING));

    sendAnswer(servedSidecar.backEnd.calls.get(0), -1, received, () -> {});
    assertComplete(received, "leaving");
    Eventually.await("left", left::isDone);
  }

  @Test
  void queryIsAnsweredAndFailsWhenConnectionIsLost() throws Exception {
    Message.CallQuery query =
        new Message.CallQuery(0, Messages.key("vote"), Messages.attempt(1), true);
    CompletableFuture<Message.CallStatus> answer = link.query(query).toCompletableFuture();
    assertThat(answer.get(30, TimeUnit.SECONDS).state(), is(CallState.NEVER_RECEIVED));
    proxy.retarget(1);
    proxy.dropBytes();
    CompletableFuture<Message.CallStatus> lost = link.query(query).toCompletableFuture();
    Eventually.await("failed", lost::isCompletedExceptionally);
  }

  private boolean isReady() {
    return link.isUsable() && servedSidecar.sidecar.isJoined() && link.load().capacity() > 0;
  }

  private static void sendAnswer(
      FakeBackEnd.Call call, int faultStep, Received received, Runnable fault) {
    for (int step = 0; step <= CHUNKS + 2; step++) {
      if (step == faultStep) {
        fault.run();
      }
      if (step == 0) {
        call.sendHead();
      } else if (step <= CHUNKS) {
        call.sendToken("t" + step);
      } else if (step == CHUNKS + 1) {
        call.listener.onEnd();
      }
      int framesSeen = step;
      if (step < faultStep) {
        Eventually.await("frame " + step, () -> received.frames() > framesSeen);
      }
    }
  }

  private static void assertComplete(Received received, String context) {
    Eventually.await(context, () -> received.end != null);
    assertThat(context, received.end.complete(), is(true));
    assertThat(context, received.chunks, hasSize(CHUNKS));
    for (int i = 0; i < CHUNKS; i++) {
      assertThat(context, received.chunks.get(i).sequence(), is(i + 1L));
    }
  }

  /** A sidecar and the server through which it is reached. */
  private final class ServedSidecar {
    final FakeBackEnd backEnd = new FakeBackEnd();
    final Sidecar sidecar;
    final FrameServer server;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

    ServedSidecar(Incarnation self) {
      DecisionLookup none = new NoDecisions();
      sidecar =
          Sidecar.of(
              self,
              Messages.UPSTREAM,
              UpstreamKind.MODEL_ENGINE,
              SidecarLimits.standard(),
              none,
              records -> CompletableFuture.completedFuture(1L),
              backEnd,
              executor,
              InstantSource.system(),
              System::nanoTime,
              metrics);
      sidecar.start();
      var unused = executor.scheduleAtFixedRate(sidecar::tick, 0, 20, TimeUnit.MILLISECONDS);
      server = FrameServer.of(self, SETTINGS, sidecar, sidecar::load, metrics);
      server.start("127.0.0.1", 0);
    }

    void stop() {
      server.stop();
      executor.shutdownNow();
    }
  }

  /** Decisions of an empty log. */
  private static final class NoDecisions implements DecisionLookup {
    @Override
    public boolean isClosed(Incarnation holder) {
      return false;
    }

    @Override
    public boolean isConvicted(String fingerprint) {
      return false;
    }

    @Override
    public boolean isSuspect(String fingerprint) {
      return false;
    }
  }

  /** Records what a caller received. */
  private static final class Received implements AnswerListener {
    final List<Message.AnswerChunk> chunks = new CopyOnWriteArrayList<>();
    volatile Message.AnswerHead head;
    volatile Message.AnswerEnd end;
    volatile Message.Refused refused;
    volatile SnipeloomException lost;

    int frames() {
      return chunks.size() + (head == null ? 0 : 1) + (end == null ? 0 : 1);
    }

    @Override
    public void onHead(Message.AnswerHead newHead) {
      head = newHead;
    }

    @Override
    public void onChunk(Message.AnswerChunk chunk) {
      chunks.add(chunk);
    }

    @Override
    public void onEnd(Message.AnswerEnd newEnd) {
      end = newEnd;
    }

    @Override
    public void onRefused(Message.Refused refusal) {
      refused = refusal;
    }

    @Override
    public void onLost(SnipeloomException error) {
      lost = error;
    }
  }
}
