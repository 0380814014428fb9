package io.snipeloom.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.snipeloom.telemetry.LinkTraffic.Purpose;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that the bytes of connections are counted and compared with what the link carries. */
class LinkUtilizationTest {
  private static final double MEGABITS = 8;
  private static final int BYTES_PER_SECOND = 1_000_000;

  private final LinkTraffic traffic = new LinkTraffic();
  private final LinkUtilization utilization = new LinkUtilization(traffic, MEGABITS, 0);

  @Test
  void bytesAreCountedByPurposeInBothDirections() {
    EmbeddedChannel channel = new EmbeddedChannel(traffic.meter(Purpose.STORE));
    channel.writeOutbound(Unpooled.wrappedBuffer(new byte[10]));
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[30]));
    assertThat(traffic.sentBytes(Purpose.STORE), is(10L));
    assertThat(traffic.receivedBytes(Purpose.STORE), is(30L));
    assertThat(traffic.receivedBytes(Purpose.CALLERS), is(0L));
  }

  /** Guards against adding up what is sent and received, which do not share the link. */
  @Test
  void busierDirectionDecides() {
    send(BYTES_PER_SECOND / 4);
    receive(BYTES_PER_SECOND / 8);
    assertThat(utilization.share(nanos(500)), is(closeTo(0.5, 0.001)));
    receive(BYTES_PER_SECOND / 2);
    assertThat(utilization.share(nanos(1_000)), is(closeTo(1, 0.001)));
    assertThat(utilization.share(nanos(1_500)), is(closeTo(0, 0.001)));
  }

  @Test
  void lateMeasurementCountsTheTimeThatHasPassed() {
    receive(BYTES_PER_SECOND);
    assertThat(utilization.share(nanos(2_000)), is(closeTo(0.5, 0.001)));
  }

  private void send(int bytes) {
    new EmbeddedChannel(traffic.meter(Purpose.CALLERS))
        .writeOutbound(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  private void receive(int bytes) {
    new EmbeddedChannel(traffic.meter(Purpose.REPLICAS))
        .writeInbound(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
