package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that a stream goes on only at the software version that began it, within a response and
 * over the attempts of a caller. Each event of the fake replicas names their version.
 */
@Timeout(60)
class StreamVersionTest {
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  /** Enough for both versions to begin some of the streams. */
  private static final int STREAMS = 16;

  private static final int TRIES = 10;

  private final List<FakeReplica> replicas = new ArrayList<>();
  private EdgeFixture edge;

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() throws IOException {
    edge.close();
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }

  /** Guards against a stream that an instance resumes at a replica of another version. */
  @Test
  void brokenStreamResumesAtReplicaOfSameVersion() throws Exception {
    startReplicas(StreamVersionTest::breakAfterFirstEvent, "v1", "v1", "v2", "v2");
    for (int i = 0; i < STREAMS; i++) {
      String response = edge.send("/draft/1", "a" + i, PROMPT_HEADERS);
      String version = versionOfFirstEvent(response);
      assertThat(response, containsString("id: 2\ndata: " + version + "\n\n"));
      assertThat(response, endsWith(END_OF_CHUNKS));
    }
  }

  /** Guards against another version taking over when no replica of the first one is left. */
  @Test
  void brokenStreamIsCutOffIfItsVersionIsGone() throws Exception {
    startReplicas(StreamVersionTest::breakAfterFirstEvent, "v2", "v2");
    FakeReplica last =
        FakeReplica.start(
            (request, socket) -> {
              edge.register("e-9", "llm", replicas.get(replicas.size() - 1), "draining", "v1");
              edge.awaitLog("version=v1 state=DRAINING");
              return breakAfterFirstEvent("v1", request, socket);
            });
    replicas.add(last);
    edge.register("e-9", "llm", last, "ready", "v1");
    edge.awaitLog("version=v1 state=READY");
    for (int i = 0; i < 2 * STREAMS && last.requests().isEmpty(); i++) {
      String response = edge.send("/draft/1", "a" + i, PROMPT_HEADERS);
      if (!last.requests().isEmpty()) {
        assertThat(response, allOf(containsString("data: v1"), not(containsString("data: v2"))));
        assertThat(response, not(endsWith(END_OF_CHUNKS)));
      }
    }
    assertThat(last.requests(), hasSize(1));
  }

  /** Guards against a caller's stream that another instance resumes at another version. */
  @Test
  void streamResumedAtAnotherInstanceGoesOnAtVersionThatBeganIt() throws Exception {
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1", "v1", "v2", "v2");
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store)) {
      second.awaitReady();
      second.awaitLog("replica=e-3 ");
      for (int i = 0; i < STREAMS; i++) {
        String version = versionOfFirstEvent(edge.send("/draft/1", "a" + i, PROMPT_HEADERS));
        String response = resume(second, "a" + i);
        assertThat(response, containsString("id: 2\ndata: " + version + "\n\n"));
      }
    }
  }

  /** Guards against a guess by an instance that has not read of the version that began a stream. */
  @Test
  void streamOfVersionThatAnInstanceHasNotReadIsRefusedThere() throws Exception {
    edge.configureWithoutTotal(1);
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1");
    InetSocketAddress endpoint = edge.store.addEndpoint();
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store, endpoint)) {
      second.awaitReady();
      second.awaitLog("replica=e-0 ");
      while (!resume(second, "unknown").contains("data: v1")) {
        Thread.sleep(50);
      }
      edge.store.disableEndpoint(endpoint);
      edge.register("e-0", "llm", replicas.get(0), "draining", "v1");
      startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v2");
      edge.awaitLog("version=v1 state=DRAINING");
      assertThat(versionOfFirstEvent(edge.send("/draft/1", "a", PROMPT_HEADERS)), is("v2"));
      String response = resume(second, "a");
      assertThat(response, allOf(startsWith("HTTP/1.1 503"), containsString("retry-after")));
    }
  }

  /** Guards against the loss of what began a stream with the instance that passed it on. */
  @Test
  void streamResumedAfterCrashOfItsInstanceGoesOnAtVersionThatBeganIt() throws Exception {
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1", "v2");
    List<String> versions = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      versions.add(versionOfFirstEvent(edge.send("/draft/1", "a" + i, PROMPT_HEADERS)));
    }
    edge.awaitLog("event=stream_origins_recorded total=" + STREAMS);
    edge.halt();
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store)) {
      second.awaitReady();
      second.awaitLog("replica=e-1 ");
      for (int i = 0; i < STREAMS; i++) {
        assertThat(
            resume(second, "a" + i), containsString("id: 2\ndata: " + versions.get(i) + "\n\n"));
      }
    }
  }

  /**
   * Guards against refusing the streams of an instance that was cut off from the store and killed
   * during a release, although it could begin them at one version only.
   */
  @Test
  void streamsOfInstanceThatWasCutOffAndKilledDuringReleaseGoOn() throws Exception {
    edge.configureWithoutTotal(1);
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1");
    InetSocketAddress endpoint = edge.store.addEndpoint();
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store);
        EdgeFixture cutOff = new EdgeFixture("edge-3", edge.store, endpoint)) {
      second.awaitReady();
      cutOff.awaitReady();
      assertThat(versionOfFirstEvent(cutOff.send("/draft/1", "a", PROMPT_HEADERS)), is("v1"));
      edge.store.disableEndpoint(endpoint);
      startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v2");
      second.awaitLog("version=v2 declared=true");
      assertThat(versionOfFirstEvent(cutOff.send("/draft/1", "b", PROMPT_HEADERS)), is("v1"));
      cutOff.halt();
      for (String attempt : List.of("a", "b")) {
        assertThat(resumeUntilServed(second, attempt), containsString("id: 2\ndata: v1\n\n"));
        second.awaitLog("resumes=" + attempt + " service=llm version=v1 source=ONLY_REMAINING");
      }
    }
  }

  /** Guards against a guess where the killed instance could begin streams at either version. */
  @Test
  void streamOfKilledInstanceThatHadDeclaredBothVersionsIsRefused() throws Exception {
    edge.configureWithoutTotal(1);
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1", "v2");
    InetSocketAddress endpoint = edge.store.addEndpoint();
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store);
        EdgeFixture cutOff = new EdgeFixture("edge-3", edge.store, endpoint)) {
      second.awaitReady();
      cutOff.awaitReady();
      cutOff.awaitLog("version=v1 declared=true");
      cutOff.awaitLog("version=v2 declared=true");
      edge.store.disableEndpoint(endpoint);
      String version = versionOfFirstEvent(cutOff.send("/draft/1", "a", PROMPT_HEADERS));
      cutOff.halt();
      for (int i = 0; i < 4; i++) {
        assertThat(
            "a stream of " + version,
            resume(second, "a"),
            allOf(startsWith("HTTP/1.1 503"), containsString("retry-after")));
      }
    }
  }

  /** Guards against refusing a stream that an instance without the store knows. */
  @Test
  void instanceThatIsCutOffFromTheStoreTellsWhatBeganItsStreams() throws Exception {
    edge.configureWithoutTotal(1);
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1", "v2");
    InetSocketAddress endpoint = edge.store.addEndpoint();
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store);
        EdgeFixture cutOff = new EdgeFixture("edge-3", edge.store, endpoint)) {
      second.awaitReady();
      cutOff.awaitReady();
      cutOff.awaitLog("version=v1 declared=true");
      cutOff.awaitLog("version=v2 declared=true");
      edge.store.disableEndpoint(endpoint);
      String version = versionOfFirstEvent(cutOff.send("/draft/1", "a", PROMPT_HEADERS));
      assertThat(
          resumeUntilServed(second, "a"), containsString("id: 2\ndata: " + version + "\n\n"));
      second.awaitLog("resumes=a service=llm version=" + version + " source=PEER");
    }
  }

  /** Guards against a guess when nothing tells which version began a stream. */
  @Test
  void streamOfUnknownOriginIsRefusedWhileVersionsDiffer() throws Exception {
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1", "v2");
    String response = resume(edge, "unknown");
    assertThat(response, allOf(startsWith("HTTP/1.1 503"), containsString("retry-after")));
    assertThat(replicas.get(0).requests(), hasSize(0));
    assertThat(replicas.get(1).requests(), hasSize(0));
  }

  @Test
  void streamOfUnknownOriginGoesOnWhileThereIsOneVersion() throws Exception {
    startReplicas(StreamVersionTest::breakUnlessCallerResumes, "v1", "v1");
    assertThat(resume(edge, "unknown"), containsString("id: 2\ndata: v1\n\n"));
  }

  /** Writes the response of a replica of some version. */
  private interface VersionScript {
    boolean respond(String version, FakeReplica.Request request, Socket socket)
        throws IOException, InterruptedException;
  }

  private static boolean breakAfterFirstEvent(
      String version, FakeReplica.Request request, Socket socket) throws IOException {
    if (request.headers().containsKey("Last-Event-Id")) {
      return sendSecondEvent(version, request, socket);
    }
    sendFirstEvent(version, request, socket);
    return false;
  }

  /** Breaks off until the caller itself resumes the stream. */
  private static boolean breakUnlessCallerResumes(
      String version, FakeReplica.Request request, Socket socket) throws IOException {
    if (request.headers().containsKey("Resumes")) {
      return sendSecondEvent(version, request, socket);
    }
    if (!request.headers().containsKey("Last-Event-Id")) {
      sendFirstEvent(version, request, socket);
    }
    return false;
  }

  private static void sendFirstEvent(String version, FakeReplica.Request request, Socket socket)
      throws IOException {
    FakeReplica.write(socket, head(request) + chunk("id: 1\ndata: " + version + "\n\n"));
  }

  private static boolean sendSecondEvent(String version, FakeReplica.Request request, Socket socket)
      throws IOException {
    String event = chunk("id: 2\ndata: " + version + "\n\n");
    FakeReplica.write(socket, head(request) + event + END_OF_CHUNKS);
    return true;
  }

  private static String head(FakeReplica.Request request) {
    return "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: "
        + request.attempt()
        + "\r\nSnipeloom-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n";
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String versionOfFirstEvent(String response) {
    assertThat(response, startsWith("HTTP/1.1 200"));
    boolean first = response.contains("id: 1\ndata: v1\n\n");
    assertThat(first || response.contains("id: 1\ndata: v2\n\n"), is(true));
    return first ? "v1" : "v2";
  }

  /** Resumes, as a caller does, the stream whose first event an earlier attempt received. */
  private static String resume(EdgeFixture instance, String attempt) throws IOException {
    String position = "Last-Event-Id: 1\r\nResumes: " + attempt + "\r\n";
    return instance.send("/draft/1", attempt + "-again", PROMPT_HEADERS + position);
  }

  /** Resumes a stream until it goes on, as callers do that are told to come back. */
  private static String resumeUntilServed(EdgeFixture instance, String attempt)
      throws IOException, InterruptedException {
    String response = resume(instance, attempt);
    for (int i = 0; i < TRIES && response.startsWith("HTTP/1.1 503"); i++) {
      Thread.sleep(500);
      response = resume(instance, attempt);
    }
    return response;
  }

  private void startReplicas(VersionScript script, String... versions) throws Exception {
    for (String version : versions) {
      FakeReplica replica =
          FakeReplica.start((request, socket) -> script.respond(version, request, socket));
      edge.register("e-" + replicas.size(), "llm", replica, "ready", version);
      replicas.add(replica);
    }
    edge.configure(1, 1_000_000);
    edge.awaitReady();
  }
}
