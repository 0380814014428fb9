package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.routing.AskedRequests;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.routing.ObservedWork;
import io.snipeloom.routing.PromptPart;
import io.snipeloom.routing.ReplicaDemand;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.SentPrompt;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SnipeloomException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class DemandMessageTest {
  private static final ReplicaId REPLICA = new ReplicaId("i-1");
  private static final DemandMessage REPORT =
      new DemandMessage.Report(
          7,
          new DemandReport(
              "edge-1",
              List.of(new ReplicaDemand(REPLICA, 3, 17_020)),
              List.of(new SentPrompt(REPLICA, List.of(new PromptPart("5c1e07a2", 13_300))))));
  private static final DemandMessage ACKNOWLEDGEMENT =
      new DemandMessage.Acknowledgement(7, 1_700_000_000_000L);

  @Test
  void encodedMessagesDecodeToEqualMessages() {
    assertThat(PeerMessage.parse(REPORT.toBytes()), is(REPORT));
    assertThat(PeerMessage.parse(ACKNOWLEDGEMENT.toBytes()), is(ACKNOWLEDGEMENT));
  }

  /** Guards against instances of two versions that do not understand each other. */
  @Test
  void workFollowsWhatTheVersionBeforeReads() {
    byte[] before = REPORT.toBytes();
    DemandMessage message = withWork(new ObservedWork(500, 17_140, 160, 250));
    byte[] complete = message.toBytes();
    assertThat(PeerMessage.parse(complete), is(message));
    assertThat(
        "the beginning is a report of the version before",
        Arrays.copyOf(complete, before.length),
        is(before));
    for (int length = before.length + 1; length < complete.length; length++) {
      byte[] truncated = Arrays.copyOf(complete, length);
      assertThrows(SnipeloomException.class, () -> PeerMessage.parse(truncated));
    }
  }

  /** Guards against reports that grow beyond what a link of 7 Mbit/s bears at 300 instances. */
  @Test
  void workAddsAtMostSixteenBytesForEachReplica() {
    int before = REPORT.toBytes().length;
    int after = withWork(new ObservedWork(60_000, 400_000, 9_999, 9_999)).toBytes().length;
    assertThat(after - before, lessThanOrEqualTo(17));
  }

  private static DemandMessage withWork(ObservedWork work) {
    return new DemandMessage.Report(
        7,
        new DemandReport(
            "edge-1",
            List.of(new ReplicaDemand(REPLICA, 3, 17_020, work)),
            List.of(new SentPrompt(REPLICA, List.of(new PromptPart("5c1e07a2", 13_300))))));
  }

  @Test
  void receivedRequestsDecodeWithAndWithoutObservedWork() {
    List<AskedRequests> asked = List.of(new AskedRequests("draft", CustomerId.of("customer"), 5));
    for (List<ReplicaDemand> demands :
        List.of(List.<ReplicaDemand>of(), List.of(new ReplicaDemand(REPLICA, 3, 17_020)))) {
      DemandMessage message =
          new DemandMessage.Report(1, new DemandReport("edge-1", demands, List.of(), asked));
      assertThat(PeerMessage.parse(message.toBytes()), is(message));
    }
  }

  @Test
  void truncatedFramesAreRejected() {
    for (DemandMessage message : List.of(REPORT, ACKNOWLEDGEMENT)) {
      byte[] complete = message.toBytes();
      for (int length = 0; length < complete.length; length++) {
        byte[] truncated = Arrays.copyOf(complete, length);
        assertThrows(SnipeloomException.class, () -> PeerMessage.parse(truncated));
      }
    }
  }

  @Test
  void unsupportedVersionIsRejected() {
    byte[] other = REPORT.toBytes();
    other[0] = DemandMessage.VERSION + 1;
    assertThrows(SnipeloomException.class, () -> PeerMessage.parse(other));
  }

  @Test
  void listsOfTooManyEntriesAreRejected() {
    ReplicaDemand demand = new ReplicaDemand(REPLICA, 1, 1);
    DemandReport report =
        new DemandReport(
            "edge-1", Collections.nCopies(DemandMessage.MAX_ENTRIES + 1, demand), List.of());
    byte[] bytes = new DemandMessage.Report(1, report).toBytes();
    assertThrows(SnipeloomException.class, () -> PeerMessage.parse(bytes));
  }
}
