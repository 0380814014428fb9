package io.snipeloom.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

class ConnectionFaultsTest {
  private final FaultControl control = new FaultControl();

  /** Guards against a request that is served because its connection is yet to be closed. */
  @Test
  void whatIsReadWhileDownIsDiscarded() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(new ConnectionFaults(control.connections(), channel));
    control.set(Faults.none().withDown(true));
    channel.writeInbound("request");
    assertThat(channel.readInbound(), is(nullValue()));
  }

  @Test
  void whatIsReadWithoutFaultsIsPassedOn() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(new ConnectionFaults(control.connections(), channel));
    channel.writeInbound("request");
    assertThat(channel.readInbound(), is("request"));
  }
}
