package io.snipeloom.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.snipeloom.spend.LoanRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * The connection on which this instance borrows from another one; opened when it is first needed.
 *
 * <p>Belongs to its event loop.
 */
final class LoanConnection {
  /** A few round trips between availability zones. */
  private static final int CONNECT_TIMEOUT_MILLIS = 100;

  /** A peer that has not answered for this long is gone, or its connection silent. */
  private static final long SILENCE_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Map<Long, Question> open = new LinkedHashMap<>();
  private Channel channel;
  private long lastNumber;

  private record Question(long askedNanos, LongConsumer listener) {}

  LoanConnection(EventLoop loop, InetSocketAddress address) {
    this.loop = loop;
    this.address = address;
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Asks for tokens.
   *
   * @param request what is asked for
   * @param listener takes the tokens that were lent, once; 0 if none or if the connection ended
   */
  void ask(LoanRequest request, LongConsumer listener) {
    if (isSilent()) {
      close();
    }
    long number = ++lastNumber;
    open.put(number, new Question(System.nanoTime(), listener));
    if (channel == null) {
      connect(new LoanMessage.Ask(number, request));
    } else {
      send(new LoanMessage.Ask(number, request));
    }
  }

  void close() {
    Channel closing = channel;
    channel = null;
    if (closing != null) {
      ChannelFuture unused = closing.close();
    }
    failAll();
  }

  private boolean isSilent() {
    return !open.isEmpty()
        && System.nanoTime() - open.values().iterator().next().askedNanos() > SILENCE_NANOS;
  }

  private void connect(LoanMessage.Ask first) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    LoanFrames.addTo(
                        opened, LoanConnection.this::onMessage, () -> onClosed(opened));
                  }
                })
            .connect(address);
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            send(first);
          } else {
            onClosed(connecting.channel());
          }
        });
  }

  private void send(LoanMessage.Ask ask) {
    if (channel != null) {
      ChannelFuture unused = LoanFrames.send(channel, ask);
    }
  }

  private void onMessage(LoanMessage message) {
    if (message instanceof LoanMessage.Lent lent) {
      Question question = open.remove(lent.number());
      if (question != null) {
        question.listener().accept(lent.tokens());
      }
    }
  }

  private void onClosed(Channel closed) {
    if (closed == channel) {
      channel = null;
      failAll();
    }
  }

  private void failAll() {
    List<Question> failed = new ArrayList<>(open.values());
    open.clear();
    failed.forEach(question -> question.listener().accept(0));
  }
}
