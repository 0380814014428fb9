package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicaDirectoryTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private final ReplicaDirectory directory = new ReplicaDirectory();

  @Test
  void drainingReplicaIsNotAvailable() {
    Replica replica = replica("a", 1, ReplicaState.READY);
    directory.put(replica);
    directory.put(replica("a", 1, ReplicaState.DRAINING));
    assertThat(directory.availableReplicas("service"), empty());
    assertThat(directory.isAvailable(replica), is(false));
  }

  /** Guards against requests to a replica that leaves, after a stale listing calls it ready. */
  @Test
  void drainingReplicaStaysSoWhateverAnOlderEntrySays() {
    Replica ready = replica("a", 1, ReplicaState.READY);
    directory.put(ready);
    directory.put(replica("a", 1, ReplicaState.DRAINING));
    directory.replaceAll(List.of(ready), 100 * SECOND_NANOS);
    assertThat(directory.availableReplicas("service"), empty());
    directory.put(replica("a", 2, ReplicaState.READY));
    assertThat(directory.availableReplicas("service"), hasSize(1));
  }

  /** Guards against losing live replicas whose entries the store lacks after it came back. */
  @Test
  void entryThatAnOlderCopyLacksIsRemovedOnlyAfterGracePeriod() {
    directory.put(replica("a", 1, ReplicaState.READY));
    directory.onRegistryReverted(100 * SECOND_NANOS);
    directory.replaceAll(List.of(), 100 * SECOND_NANOS);
    assertThat(directory.availableReplicas("service"), hasSize(1));
    assertThat(directory.removeMissing(103 * SECOND_NANOS), hasSize(1));
  }

  @Test
  void replicaIsRemovedWhenItsEntryDisappears() {
    directory.put(replica("a", 1, ReplicaState.READY));
    assertThat(directory.remove(new ReplicaId("a"), 100 * SECOND_NANOS), is(true));
    assertThat(directory.availableReplicas("service"), empty());
  }

  @Test
  void entryLostDuringOutageIsRemovedOnlyAfterGracePeriod() {
    directory.put(replica("a", 1, ReplicaState.READY));
    directory.onRegistryUnavailable();
    directory.remove(new ReplicaId("a"), 100 * SECOND_NANOS);
    directory.onRegistryAvailable(101 * SECOND_NANOS);
    assertThat(directory.removeMissing(102 * SECOND_NANOS), empty());
    assertThat(directory.availableReplicas("service"), hasSize(1));
    assertThat(directory.removeMissing(104 * SECOND_NANOS), hasSize(1));
    assertThat(directory.availableReplicas("service"), empty());
  }

  @Test
  void replicaThatRegistersAgainAfterOutageIsKept() {
    Replica replica = replica("a", 1, ReplicaState.READY);
    directory.put(replica);
    directory.onRegistryUnavailable();
    directory.replaceAll(List.of(), 100 * SECOND_NANOS);
    directory.onRegistryAvailable(101 * SECOND_NANOS);
    directory.put(replica);
    assertThat(directory.removeMissing(110 * SECOND_NANOS), empty());
    assertThat(directory.isAvailable(replica), is(true));
  }

  @Test
  void earlierIncarnationIsNotAvailable() {
    Replica earlier = replica("a", 1, ReplicaState.READY);
    directory.put(earlier);
    directory.put(replica("a", 2, ReplicaState.READY));
    assertThat(directory.isAvailable(earlier), is(false));
  }

  static Replica replica(String id, long startedAtMillis, ReplicaState state) {
    return new Replica(
        new ReplicaId(id),
        startedAtMillis,
        "service",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9_000),
        new SoftwareVersion("v1"),
        "zone",
        64,
        state);
  }
}
