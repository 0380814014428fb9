package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class PeerDemandTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final ReplicaId REPLICA = new ReplicaId("i-1");

  private final PeerDemand peers = new PeerDemand();

  @Test
  void reportReplacesTheOneBeforeOfTheSameInstance() {
    peers.changeOthers(2);
    peers.onReport(report("edge-1", 3, 9_000), 0);
    peers.onReport(report("edge-2", 1, 1_000), 0);
    peers.onReport(report("edge-1", 1, 500), SECOND_NANOS / 10);
    assertThat(peers.inFlight(REPLICA), is(2.0));
    assertThat(peers.pendingTokens(REPLICA), is(1_500.0));
  }

  /** Guards against a replica that is avoided for the requests of an instance that is gone. */
  @Test
  void reportThatIsNotFollowedByAnotherExpires() {
    peers.changeOthers(1);
    peers.onReport(report("edge-1", 3, 9_000), 0);
    peers.expire(SECOND_NANOS + 1);
    assertThat(peers.isKnown(), is(false));
    assertThat(peers.pendingTokens(REPLICA), is(0.0));
  }

  /** Guards against a load that looks smaller the more instances do not report. */
  @Test
  void demandOfInstancesThatDoNotReportIsEstimated() {
    peers.changeOthers(300);
    for (int i = 0; i < 60; i++) {
      peers.onReport(report("edge-" + i, 1, 1_000), 0);
    }
    assertThat(peers.pendingTokens(REPLICA), is(300_000.0));
  }

  @Test
  void demandIsUnknownWhileFewerInstancesReportThanAreTold() {
    peers.changeOthers(300);
    for (int i = 0; i < 20; i++) {
      peers.onReport(report("edge-" + i, 1, 1_000), 0);
    }
    assertThat("20 of 300", peers.isKnown(), is(false));
    for (int i = 20; i < 40; i++) {
      peers.onReport(report("edge-" + i, 1, 1_000), 0);
    }
    assertThat("40 of 300", peers.isKnown(), is(true));
  }

  private static DemandReport report(String instance, int inFlight, long pendingTokens) {
    ReplicaDemand demand = new ReplicaDemand(REPLICA, inFlight, pendingTokens);
    return new DemandReport(instance, List.of(demand), List.of());
  }
}
