package io.snipeloom.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Simulates faults of one connection of a stand-in: it closes the connection or discards its
 * traffic. Must be the first handler of the channel's pipeline.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ConnectionFaults extends ChannelDuplexHandler {
  private final Connections connections;
  private final Channel channel;

  private final Set<Runnable> closeActions = ConcurrentHashMap.newKeySet();

  private volatile boolean silenced;

  ConnectionFaults(Connections connections, Channel channel) {
    this.connections = connections;
    this.channel = channel;
  }

  /** Discards all bytes in both directions from now on; this cannot be undone. */
  void silence() {
    silenced = true;
  }

  /**
   * Adds an action to run when the connection closes. It must be idempotent, since it may run
   * twice.
   */
  void onClose(Runnable action) {
    closeActions.add(action);
    if (!channel.isOpen()) {
      runCloseActions();
    }
  }

  /** Removes an action added by {@link #onClose}. */
  void removeCloseAction(Runnable action) {
    closeActions.remove(action);
  }

  /** Runs and removes all close actions. */
  void runCloseActions() {
    closeActions.forEach(Runnable::run);
    closeActions.clear();
  }

  /** Closes the connection. */
  void close() {
    channel.close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    if (connections.isRefusing()) {
      context.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isSilent() || connections.isDown()) {
      ReferenceCountUtil.release(message);
      return;
    }
    context.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (isSilent()) {
      ReferenceCountUtil.release(message);
      promise.trySuccess();
      return;
    }
    context.write(message, promise);
  }

  private boolean isSilent() {
    if (connections.isSilent()) {
      silenced = true;
    }
    return silenced;
  }
}
