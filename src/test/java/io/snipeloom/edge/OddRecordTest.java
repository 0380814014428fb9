package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.OddBytes;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaves odd records in the topics that a real instance reads. */
@Timeout(60)
class OddRecordTest {
  private static final String REPLICAS = "keyed.servers";
  private static final int LEDGER_PARTITIONS = 3;
  private static final String CONFIGURED = "event=configuration version=1 applied=true";

  /** An address of the range for documentation, at which nothing answers. */
  private static final String ENTRY =
      "{\"service\":\"app\",\"address\":\"192.0.2.1:8080\",\"zone\":\"zone-a\",\"slots\":6,"
          + "\"version\":\"v1\",\"state\":\"ready\",\"born\":1,\"sequence\":4}";

  private EdgeFixture edge;

  @BeforeEach
  void startInstance() throws Exception {
    edge = new EdgeFixture();
    edge.configure(1, 1_000_000);
    edge.awaitLog(CONFIGURED);
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  static Stream<String> oddEntries() {
    return Stream.of(
        ENTRY.replace(":8080", ":70000"),
        ENTRY.replace(":8080", ":0"),
        ENTRY.replace(":8080", ":-1"),
        ENTRY.replace(":8080", ":99999999999"),
        ENTRY.replace("192.0.2.1", "999.0.2.1"),
        ENTRY.replace("192.0.2.1", "1.2.3"),
        ENTRY.replace("\"slots\":6", "\"slots\":4294967302"),
        ENTRY.replace("\"slots\":6", "\"slots\":" + "9".repeat(900)),
        ENTRY.replace("\"born\":1", "\"born\":" + "9".repeat(900)),
        ENTRY.replace("\"born\":1", "\"born\":1.5"),
        ENTRY.replace("\"sequence\":4", "\"sequence\":1e400"),
        ENTRY.replace("\"sequence\":4", "\"sequence\":\"4\""));
  }

  /** Guards against an entry with a value out of range that is taken for a replica. */
  @ParameterizedTest
  @MethodSource("oddEntries")
  void entryWithValueOutOfRangeNamesNoReplica(String entry) throws Exception {
    edge.store.put(REPLICAS, "i-odd", entry);
    assertThatSoundReplicaIsUsed("i-1");
    assertThat(edge.hasLogged(line -> line.contains("event=replica replica=i-odd")), is(false));
    edge.awaitLog("event=replica_entry_refused replica=i-odd");
  }

  /** Guards against a record that ends the process or hides the records after it. */
  @ParameterizedTest
  @ValueSource(strings = {REPLICAS, "keyed.op", "keyed.crashes", "keyed.members", "keyed.ledger"})
  void instanceFollowsTopicsOnAfterOddRecords(String topic) throws Exception {
    leaveOddRecords(topic);
    assertThatSoundReplicaIsUsed("i-1");
    leaveOddRecords(topic);
    assertThatSoundReplicaIsUsed("i-2");
    edge.configure(2, 1_000_000);
    edge.awaitLog("event=configuration version=2 applied=true");
    assertThat(edge.hasLogged(line -> line.contains("event=task_failed")), is(false));
    assertThat(edge.hasLogged(line -> line.contains("event=record_failed")), is(false));
  }

  /** Guards against a start at which the odd records of a listing hide the others. */
  @Test
  void instanceThatStartsAmongOddRecordsServes() throws Exception {
    for (String topic : List.of(REPLICAS, "keyed.op", "keyed.crashes", "keyed.members")) {
      leaveOddRecords(topic);
    }
    edge.halt();
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store)) {
      FakeReplica replica = FakeReplica.start(OddRecordTest::respond);
      second.register("i-1", "app", replica, "ready");
      second.awaitLog(CONFIGURED);
      second.awaitLog("event=replica replica=i-1 ");
      assertThat(second.send("/status/1", "a1", ""), endsWith("read"));
    }
  }

  /** Guards against claims of tokens of which others may hold any number. */
  @Test
  void nothingIsClaimedWhereLedgerRecordCannotBeRead() throws Exception {
    for (int partition = 0; partition < LEDGER_PARTITIONS; partition++) {
      edge.store.putBytes("keyed.ledger", partition, record("customer", new byte[] {'?'}));
    }
    FakeReplica replica = FakeReplica.start(OddRecordTest::respond);
    edge.register("i-1", "llm", replica, "ready");
    edge.awaitLog("event=replica replica=i-1 ");
    String prompt = "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
    assertThat(edge.send("/draft/1", "a1", prompt), startsWith("HTTP/1.1 503"));
    edge.awaitLog("event=ledger_record_refused customer=customer");
    assertThat(replica.requests(), empty());
  }

  /** Guards against a message of another instance that ends the process or holds others up. */
  @Test
  void instanceServesOnAfterOddMessagesOfPeers() throws Exception {
    for (byte[] message : OddBytes.all()) {
      sendToPeerPort(ByteBuffer.allocate(4).putInt(message.length).array(), message);
      sendToPeerPort(new byte[0], message);
    }
    assertThatSoundReplicaIsUsed("i-1");
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store)) {
      second.awaitReady();
      edge.awaitLog("event=peer_demand known=true");
    }
    assertThat(edge.hasLogged(line -> line.contains("event=task_failed")), is(false));
  }

  /** Sends bytes as another instance does, and waits until their connection is closed. */
  private void sendToPeerPort(byte[] length, byte[] message) throws IOException {
    try (Socket peer = edge.openPeer()) {
      peer.getOutputStream().write(length);
      peer.getOutputStream().write(message);
      peer.shutdownOutput();
      EdgeFixture.readAll(peer.getInputStream());
    } catch (SocketException e) {
      // The instance has closed the connection before it had read everything.
      return;
    }
  }

  private void leaveOddRecords(String topic) {
    List<byte[]> values = OddBytes.all();
    for (int i = 0; i < values.size(); i++) {
      edge.store.putBytes(topic, record("odd-" + i, values.get(i)));
    }
    edge.store.putBytes(topic, new byte[0]);
    edge.store.putBytes(topic, new byte[] {0, 'v'});
    edge.store.putBytes(topic, new byte[] {(byte) 200, 'k'});
  }

  private static byte[] record(String key, byte[] value) {
    byte[] record = new byte[1 + key.length() + value.length];
    record[0] = (byte) key.length();
    System.arraycopy(key.getBytes(StandardCharsets.UTF_8), 0, record, 1, key.length());
    System.arraycopy(value, 0, record, 1 + key.length(), value.length);
    return record;
  }

  private void assertThatSoundReplicaIsUsed(String id) throws Exception {
    FakeReplica replica = FakeReplica.start(OddRecordTest::respond);
    edge.register(id, "app", replica, "ready");
    edge.awaitLog("event=replica replica=" + id + " ");
    assertThat(edge.send("/status/1", "a-" + id, ""), endsWith("read"));
  }

  private static boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "read"));
    return true;
  }
}
