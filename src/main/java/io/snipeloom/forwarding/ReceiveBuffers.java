package io.snipeloom.forwarding;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** How much of a connection is read before the event loop turns to the next one. */
final class ReceiveBuffers {
  private ReceiveBuffers() {}

  /** Returns an allocator with which a connection is read once, up to 64 KiB, in each turn. */
  static RecvByteBufAllocator oneReadPerTurn() {
    return new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);
  }
}
