package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.snipeloom.buffering.BufferBounds;
import io.snipeloom.buffering.Buffers;
import io.snipeloom.buffering.ResponseBuffer;
import io.snipeloom.buffering.ResponseReader;
import io.snipeloom.forwarding.CallerTimeouts.Expiry;
import io.snipeloom.routing.RequestLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which time limit of a caller's connection has passed, without a clock or a network. */
class CallerTimeoutsTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long HEADER_MILLIS = 3_000;
  private static final long BODY_MILLIS = 10_000;
  private static final long UNREAD_MILLIS = 60_000;
  private static final long IDLE_MILLIS = 15_000;
  private static final int MORE_THAN_IS_TAKEN_BYTES = 1_000_000;
  private static final RequestLimits LIMITS =
      new RequestLimits(16_384, 4_194_304, HEADER_MILLIS, IDLE_MILLIS);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ResponseBuffer buffer =
      Buffers.of(BufferBounds.UNLIMITED).responses().open(new Unlimited());
  private final CallerWriter writer = new CallerWriter(channel, buffer, () -> {});
  private final long begin = System.nanoTime();
  private final CallerTimeouts timeouts = new CallerTimeouts(begin);

  @AfterEach
  void closeChannel() {
    channel.finishAndReleaseAll();
  }

  @Test
  void connectionWithoutRequestIsIdleAfterItsLimitOnly() {
    assertThat(expired(false, IDLE_MILLIS), is(Expiry.NONE));
    assertThat(expired(false, IDLE_MILLIS + 1), is(Expiry.IDLE));
  }

  @Test
  void idleTimeBeginsAnewAtTheEndOfEachRequestAndAnswer() {
    timeouts.onRequestEnded(at(10_000));
    assertThat(expired(false, 10_000 + IDLE_MILLIS), is(Expiry.NONE));
    timeouts.onAllRead(at(12_000));
    assertThat(expired(false, 12_000 + IDLE_MILLIS), is(Expiry.NONE));
    assertThat(expired(false, 12_001 + IDLE_MILLIS), is(Expiry.IDLE));
  }

  /** Guards against a caller that makes its time longer by sending its header byte by byte. */
  @Test
  void headerIsDueFromItsFirstByteOn() {
    timeouts.onHeaderBytes(at(14_000));
    timeouts.onHeaderBytes(at(14_000 + HEADER_MILLIS));
    assertThat(expired(false, 14_000 + HEADER_MILLIS), is(Expiry.NONE));
    assertThat(expired(false, 14_001 + HEADER_MILLIS), is(Expiry.HEADER));
  }

  /** Guards against a connection that counts as idle although a header has begun to arrive. */
  @Test
  void connectionIsNotIdleWhileHeaderArrives() {
    timeouts.onHeaderBytes(at(IDLE_MILLIS));
    assertThat(expired(false, IDLE_MILLIS + HEADER_MILLIS), is(Expiry.NONE));
  }

  @Test
  void bodyIsDueFromTheEndOfItsHeaderOn() {
    timeouts.onHeaderBytes(at(0));
    timeouts.onHeader(at(2_000));
    assertThat(timeouts.headerEndNanos(), is(at(2_000)));
    assertThat(expired(true, 2_000 + BODY_MILLIS), is(Expiry.NONE));
    assertThat(expired(true, 2_001 + BODY_MILLIS), is(Expiry.BODY));
  }

  /** Guards against the limit of a header that has been received, and ends its connection. */
  @Test
  void headerThatWasReceivedIsNotDue() {
    timeouts.onHeaderBytes(at(0));
    timeouts.onHeader(at(HEADER_MILLIS));
    assertThat(expired(true, HEADER_MILLIS + 1), is(Expiry.NONE));
    assertThat(expired(false, HEADER_MILLIS + 1), is(Expiry.NONE));
    timeouts.onRequestEnded(at(HEADER_MILLIS + 2));
    assertThat(expired(false, 2 * HEADER_MILLIS + 2), is(Expiry.NONE));
  }

  /** Guards against a limit for idle connections that cuts an answer which its caller reads. */
  @Test
  void unreadAnswerHasItsOwnLimit() {
    leaveUnread();
    long last = writer.lastProgressNanos();
    assertThat(expiredAt(last + UNREAD_MILLIS * MILLI_NANOS), is(Expiry.NONE));
    assertThat(expiredAt(last + (UNREAD_MILLIS + 1) * MILLI_NANOS), is(Expiry.UNREAD));
  }

  /** Guards against a caller that is asked for a header which the instance does not read. */
  @Test
  void headerBehindUnreadAnswerIsNotDue() {
    leaveUnread();
    timeouts.onHeaderBytes(begin);
    assertThat(expired(false, HEADER_MILLIS + 1_000), is(Expiry.NONE));
  }

  private void leaveUnread() {
    writer.writeHead(200, new DefaultHttpHeaders());
    buffer.onReceived(MORE_THAN_IS_TAKEN_BYTES);
    writer.writeContent(Unpooled.wrappedBuffer(new byte[MORE_THAN_IS_TAKEN_BYTES]));
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    buffer.onReceived(1);
    writer.writeContent(Unpooled.wrappedBuffer(new byte[1]));
    assertThat(writer.isIdle(), is(false));
    assertThat(writer.takesNextResponse(), is(false));
  }

  private Expiry expired(boolean inBody, long millis) {
    return timeouts.expired(inBody, writer, LIMITS, at(millis));
  }

  private Expiry expiredAt(long nanos) {
    return timeouts.expired(false, writer, LIMITS, nanos);
  }

  private long at(long millis) {
    return begin + millis * MILLI_NANOS;
  }

  /** A caller whose response is read as fast as it comes. */
  private static final class Unlimited implements ResponseReader {
    @Override
    public void onStop() {}

    @Override
    public void onRoom() {}

    @Override
    public void onCutOff() {}
  }
}
