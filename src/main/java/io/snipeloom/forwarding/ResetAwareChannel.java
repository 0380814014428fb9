package io.snipeloom.forwarding;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A connection that can tell whether the peer has reset it after the end of its bytes, which no
 * read shows any more.
 */
public final class ResetAwareChannel extends NioSocketChannel {

  /**
   * Returns whether the peer has reset the connection.
   *
   * <p>A selector reports all operations as ready on a connection with an error, also the one to
   * connect, which is never ready on one that is established.
   */
  boolean isReset() {
    try (Selector selector = Selector.open()) {
      SelectionKey key = javaChannel().register(selector, SelectionKey.OP_CONNECT);
      selector.selectNow();
      return key.isConnectable();
    } catch (IOException e) {
      return true;
    }
  }
}
