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

/** A sidecar with the stand-ins of the platform, over HTTP and TCP on loopback. */
class SidecarDaemonTest {
  private static final String KEY = "a shared key of tests";
  private static final String LOOPBACK = "127.0.0.1";
  private static final Zone ZONE = Zone.of("zone-a");
  private static final InstanceId SLOT = InstanceId.of("sidecar-1");

  private final MetricRegistry metrics = new MetricRegistry();
  private final FrameClient client =
      FrameClient.of(Messages.ROUTER, FrameSettings.of(SharedKey.of(KEY)), 1, metrics);
  private final LogStandin log = LogStandin.of(StandinAddress.anyPort());
  private final EngineStandin engine =
      EngineStandin.of(
          StandinAddress.anyPort(),
          EngineSettings.standard().withGeneration(2, 8).withCrashDownMillis(200));
  private final ServiceStandin service = ServiceStandin.of(StandinAddress.anyPort(), "booking");
  private SidecarDaemon daemon;
  private TcpSidecarLink link;

  @BeforeEach
  void startPlatform() throws Exception {
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
    Received received = send(chat(1, "one two three"));
    Eventually.await("end", () -> received.end != null);
    assertThat(received.end.complete(), is(true));
    assertThat(received.status + received.text, received.end.promptTokens(), is(3L));
    assertThat(received.end.outputTokens(), is(8L));
    assertThat(received.text, containsString("\"usage\""));
    Eventually.await("settled", () -> metricCount("sidecar.settlements") == 1 && openIsSettled());
  }

  @Test
  void requestThatCrashesTheEngineIsReportedAndRefusedFromThenOn() {
    start(UpstreamKind.MODEL_ENGINE, engine.port());
    Received received = send(chat(1, EngineSettings.standard().crashMarker()));
    Eventually.await("failed", () -> received.end != null);
    assertThat(received.end.error(), is(ErrorCode.UPSTREAM_FAILED));
    Eventually.await("engine is back", daemon::isReady);
    Received again = send(chat(2, EngineSettings.standard().crashMarker()));
    Eventually.await("refused", () -> again.refused != null);
    assertThat(again.refused.code(), is(ErrorCode.REQUEST_CONVICTED));
    assertThat(metricCount("sidecar.engine.crashes"), is(1L));
  }

  @Test
  void plainCallTakesEffectOnceAndTheProcessIsReady() throws MalformedURLException {
    start(UpstreamKind.PLAIN_SERVICE, service.port());
    Received received = send(charge(1));
    Eventually.await("end", () -> received.end != null);
    assertThat(received.end.complete(), is(true));
    assertThat(operations("/ready"), containsString("true"));
    assertThat(operations("/metrics"), containsString("sidecar"));
    assertThat(received.end.outputTokens() + received.end.promptTokens(), greaterThan(0L));
    Received again = send(charge(1));
    Eventually.await("answered", () -> again.lost != null || again.end != null);
    assertThat(service.effects().total(), is(1L));
  }

  @Test
  void plainServiceThatIsDownMeansNotRun() {
    start(UpstreamKind.PLAIN_SERVICE, service.port());
    int port = service.port();
    service.stop();
    Eventually.await("the port is closed", () -> isClosed(port));
    Received received = send(charge(1));
    Eventually.await("refused", () -> received.refused != null || received.lost != null);
    RunState runState =
        received.refused != null ? received.refused.runState() : received.lost.runState();
    assertThat(runState, is(RunState.NOT_RUN));
  }

  private void start(UpstreamKind kind, int backEndPort) {
    daemon =
        SidecarDaemon.of(
            new SidecarSettings(
                SLOT,
                ZONE,
                Messages.UPSTREAM,
                kind,
                "http://127.0.0.1:" + backEndPort,
                new ListenSettings(LOOPBACK, 0),
                new ListenSettings(LOOPBACK, 0),
                new LogSettings(List.of("http://127.0.0.1:" + log.port()), "decisions"),
                KEY,
                8,
                8,
                5));
    daemon.start();
    Instance instance =
        new Instance(
            SLOT, Instance.Role.SIDECAR, ZONE, Messages.UPSTREAM, LOOPBACK, daemon.port(), false);
    link =
        TcpSidecarLink.of(
            instance, client, LinkSettings.standard(), System::nanoTime, new Random(3), metrics);
    link.start();
    Eventually.await("ready", () -> daemon.isReady() && link.isUsable());
  }

  private Message.Dispatch chat(long sequence, String prompt) {
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

  private Message.Dispatch charge(long sequence) {
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

  private String operations(String path) throws MalformedURLException {
    URL url = new URL("http://127.0.0.1:" + daemon.operationsPort());
    try (HttpClient http = HttpClient.create(url)) {
      return http.toBlocking().retrieve(path);
    }
  }

  private Received send(Message.Dispatch dispatch) {
    Received received = new Received();
    link.dispatch(dispatch, received);
    return received;
  }

  private long metricCount(String name) {
    return daemon.metrics().meter(name).getCount();
  }

  private boolean openIsSettled() {
    return daemon.metrics().counter("sidecar.invariants.violated").getCount() == 0;
  }

  /** What a caller received. */
  private static final class Received implements AnswerListener {
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
