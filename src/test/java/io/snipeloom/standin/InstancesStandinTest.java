package io.snipeloom.standin;

import static io.snipeloom.standin.StandinFixture.SHORT_TIMEOUTS;
import static io.snipeloom.standin.StandinFixture.failureOf;
import static io.snipeloom.standin.StandinFixture.uri;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.snipeloom.client.HttpInstanceList;
import io.snipeloom.client.Instance;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Zone;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class InstancesStandinTest {
  private static final InstanceId ID = InstanceId.of("sidecar-1");
  private static final Instance SIDECAR =
      new Instance(
          ID,
          Instance.Role.SIDECAR,
          Zone.of("zone-a"),
          UpstreamId.of("drafting"),
          "127.0.0.1",
          7000,
          false);

  @Test
  void clientReadsListOverHttpAndReportsConnectionLoss() {
    InstancesStandin list = InstancesStandin.of(StandinAddress.anyPort());
    list.start();
    HttpInstanceList client = HttpInstanceList.of(uri(list.port()), SHORT_TIMEOUTS);
    try {
      list.put(SIDECAR);
      assertThat(client.instances(), contains(SIDECAR));
      list.faults().set(Faults.none().withDown(true));
      assertThat(failureOf(client::instances).code(), is(ErrorCode.CONNECTION_LOST));
    } finally {
      client.stop();
      list.stop();
    }
  }

  @Test
  void changesBecomeVisibleAfterLag() {
    AtomicLong nanos = new AtomicLong();
    InstanceTable table = new InstanceTable(nanos::get);
    table.put(SIDECAR, 1_000);
    assertThat(table.visible(), is(empty()));
    nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertThat(table.visible(), contains(SIDECAR));
    table.markLeaving(ID, 1_000);
    assertThat(table.visible().get(0).leaving(), is(false));
    nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertThat(table.visible().get(0).leaving(), is(true));
    table.remove(ID, 0);
    assertThat(table.visible(), is(empty()));
  }

  @Test
  void markingUnknownInstanceAsLeavingFails() {
    InstanceTable table = new InstanceTable(() -> 0);
    assertThat(failureOf(() -> table.markLeaving(ID, 0)).code(), is(ErrorCode.NOT_FOUND));
  }
}
