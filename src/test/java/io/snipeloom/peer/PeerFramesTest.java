package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.snipeloom.telemetry.LinkTraffic;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerFramesTest {
  private static final LoanMessage.Response MESSAGE = new LoanMessage.Response(7, 1_000);

  /** Guards against a message that breaks off and is taken for a whole one with other values. */
  @Test
  void messageThatBreaksOffIsNotReceived() {
    byte[] body = MESSAGE.toBytes();
    ByteBuf frame = Unpooled.buffer().writeInt(body.length).writeBytes(body);
    for (int bytes = 0; bytes <= frame.readableBytes(); bytes++) {
      List<PeerMessage> received = new ArrayList<>();
      EmbeddedChannel channel = new EmbeddedChannel();
      PeerFrames.addTo(channel, new LinkTraffic(), received::add, () -> {});
      channel.writeInbound(frame.copy(0, bytes));
      channel.close().syncUninterruptibly();
      boolean whole = bytes == frame.readableBytes();
      assertThat("after " + bytes, received, whole ? contains(MESSAGE) : is(empty()));
    }
  }
}
