package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.micronaut.http.client.HttpClient;
import io.snipeloom.client.Instance;
import io.snipeloom.coordination.AnswerListener;
import io.snipeloom.coordination.LinkSettings;
import io.snipeloom.coordination.TcpSidecarLink;
import io.snipeloom.protocol.Header;
import io.snipeloom.protocol.HttpCall;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.standin.EngineSettings;
import io.snipeloom.standin.EngineStandin;
import io.snipeloom.standin.LogStandin;
import io.snipeloom.standin.ServiceStandin;
import io.snipeloom.standin.StandinAddress;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import io.snipeloom.transport.Eventually;
import io.snipeloom.transport.FrameClient;
import io.snipeloom.transport.FrameSettings;
import io.snipeloom.transport.SharedKey;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.MalformedURLException;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests a sidecar with stand-ins for the log, the engine and a plain service, over HTTP and TCP on
 * the loopback interface.
 */
class SidecarDaemonTest {
  private static final String SHARED_KEY = "a shared key of tests";
  private static final String LOOPBACK = "127.0.0.1";
  private static final Zone ZONE = Zone.of("zone-a");
  private static final InstanceId SIDECAR_ID = InstanceId.of("sidecar-1");

  private final MetricRegistry metrics = new MetricRegistry();
  private final FrameClient client =
      FrameClient.of(Messages.ROUTER, FrameSettings.of(SharedKey.of(SHARED_KEY)), 1, metrics);
  private final LogStandin log = LogStandin.of(StandinAddress.anyPort());
  private final EngineStandin engine =
      EngineStandin.of(
          StandinAddress.anyPort(),
          EngineSettings.standard().withGeneration(2, 8).withCrashDownMillis(200));
  private final ServiceStandin service = ServiceStandin.of(StandinAddress.anyPort(), "booking");
  private SidecarDaemon daemon;
  private TcpSidecarLink link;

  @BeforeEach
  void startStandins() throws Exception {
    log.start();
    engine.start();
    service.start();
  }

  @AfterEach
  void stop() {
    link.stop();
    client.stop();
    daemon.stop();
    engine.stop();
    service.stop();
    log.stop();
  }

  @Test
  void engineAnswerIsStreamedMeteredAndSettled() {
    start(UpstreamKind.MODEL_ENGINE, engine.port());
    RecordedAnswer answer = send(chatDispatch(1, "one two three"));
    Eventually.await("the answer has ended", () -> answer.end != null);
    assertThat(answer.end.complete(), is(true));
    assertThat(answer.status + answer.text, answer.end.promptTokens(), is(3L));
    assertThat(answer.end.outputTokens(), is(8L));
    assertThat(answer.text, containsString("\"usage\""));
    Eventually.await(
        "the answer is settled",
        () -> meterCount("sidecar.settlements") == 1 && noInvariantIsViolated());
  }

  @Test
  void requestThatCrashesTheEngineIsCountedAndRefusedWhenRepeated() {
    start(UpstreamKind.MODEL_ENGINE, engine.port());
    RecordedAnswer answer = send(chatDispatch(1, EngineSettings.standard().crashMarker()));
    Eventually.await("the call has failed", () -> answer.end != null);
    assertThat(answer.end.error(), is(ErrorCode.UPSTREAM_FAILED));
    Eventually.await("the engine is ready again", daemon::isReady);
    RecordedAnswer repeated = send(chatDispatch(2, EngineSettings.standard().crashMarker()));
    Eventually.await("the call is refused", () -> repeated.refused != null);
    assertThat(repeated.refused.code(), is(ErrorCode.REQUEST_CONVICTED));
    assertThat(meterCount("sidecar.engine.crashes"), is(1L));
  }

  @Test
  void repeatedPlainCallTakesEffectOnceAndTheDaemonIsReady() throws MalformedURLException {
    start(UpstreamKind.PLAIN_SERVICE, service.port());
    RecordedAnswer answer = send(depositDispatch(1));
    Eventually.await("the answer has ended", () -> answer.end != null);
    assertThat(answer.end.complete(), is(true));
    assertThat(operationsResponse("/ready"), containsString("true"));
    assertThat(operationsResponse("/metrics"), containsString("sidecar"));
    assertThat(answer.end.outputTokens() + answer.end.promptTokens(), greaterThan(0L));
    RecordedAnswer repeated = send(depositDispatch(1));
    Eventually.await(
        "the repeated call has ended", () -> repeated.lost != null || repeated.end != null);
    assertThat(service.effects().total(), is(1L));
  }

  @Test
  void callToStoppedPlainServiceIsNotRun() {
    start(UpstreamKind.PLAIN_SERVICE, service.port());
    int port = service.port();
    service.stop();
    Eventually.await("the port is closed", () -> isClosed(port));
    RecordedAnswer answer = send(depositDispatch(1));
    Eventually.await(
        "the call is refused or lost", () -> answer.refused != null || answer.lost != null);
    RunState runState = answer.refused != null ? answer.refused.runState() : answer.lost.runState();
    assertThat(runState, is(RunState.NOT_RUN));
  }

  private void start(UpstreamKind kind, int backEndPort) {
    daemon =
        SidecarDaemon.of(
            new SidecarSettings(
                SIDECAR_ID,
                ZONE,
                Messages.UPSTREAM,
                kind,
                "http://127.0.0.1:" + backEndPort,
                new ListenSettings(LOOPBACK, 0),
                new ListenSettings(LOOPBACK, 0),
                new LogSettings(List.of("http://127.0.0.1:" + log.port()), "decisions"),
                SHARED_KEY,
                8,
                8,
                5));
    daemon.start();
    Instance instance =
        new Instance(
            SIDECAR_ID,
            Instance.Role.SIDECAR,
            ZONE,
            Messages.UPSTREAM,
            LOOPBACK,
            daemon.port(),
            false);
    link =
        TcpSidecarLink.of(
            instance, client, LinkSettings.standard(), System::nanoTime, new Random(3), metrics);
    link.start();
    Eventually.await(
        "the sidecar is ready and its link usable", () -> daemon.isReady() && link.isUsable());
  }

  private Message.Dispatch chatDispatch(long sequence, String prompt) {
    String body =
        "{\"model\":\"standin-model\",\"messages\":[{\"role\":\"user\",\"content\":\""
            + prompt
            + "\"}]}";
    HttpCall call =
        new HttpCall(
            "POST",
            "/v1/chat/completions",
            List.of(new Header("content-type", "application/json")),
            body.getBytes(StandardCharsets.UTF_8));
    Message.Dispatch dispatch =
        Messages.dispatch(
            Messages.attempt(sequence),
            Messages.key("key-" + sequence),
            Urgency.PROMPT,
            "print-" + prompt);
    return Messages.withCall(call, Messages.withSidecar(daemon.incarnation(), dispatch));
  }

  private Message.Dispatch depositDispatch(long sequence) {
    HttpCall call =
        new HttpCall(
            "POST",
            "/deposits",
            List.of(new Header("content-type", "application/json")),
            "{\"deposit\":1}".getBytes(StandardCharsets.UTF_8));
    Message.Dispatch dispatch = Messages.dispatch(sequence, Urgency.NOT_REPEATABLE);
    return Messages.withCall(call, Messages.withSidecar(daemon.incarnation(), dispatch));
  }

  private static boolean isClosed(int port) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      return !socket.isConnected();
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private String operationsResponse(String path) throws MalformedURLException {
    URL url = new URL("http://127.0.0.1:" + daemon.operationsPort());
    try (HttpClient http = HttpClient.create(url)) {
      return http.toBlocking().retrieve(path);
    }
  }

  private RecordedAnswer send(Message.Dispatch dispatch) {
    RecordedAnswer answer = new RecordedAnswer();
    link.dispatch(dispatch, answer);
    return answer;
  }

  private long meterCount(String name) {
    return daemon.metrics().meter(name).getCount();
  }

  private boolean noInvariantIsViolated() {
    return daemon.metrics().counter("sidecar.invariants.violated").getCount() == 0;
  }

  /** Records the answer to a dispatch, or how the dispatch failed. */
  private static final class RecordedAnswer implements AnswerListener {
    volatile String text = "";
    volatile int status;
    volatile Message.AnswerEnd end;
    volatile Message.Refused refused;
    volatile SnipeloomException lost;

    @Override
    public void onHead(Message.AnswerHead head) {
      status = head.status();
    }

    @Override
    public void onChunk(Message.AnswerChunk chunk) {
      text = text.concat(new String(chunk.data(), StandardCharsets.UTF_8));
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
