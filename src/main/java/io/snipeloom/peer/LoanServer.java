package io.snipeloom.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.snipeloom.spend.SpendControl;
import io.snipeloom.telemetry.EventLog;
import java.net.InetSocketAddress;

/**
 * Lends tokens in hand to other instances that ask for them.
 *
 * <p>Belongs to its event loop.
 */
public final class LoanServer {
  private final EventLoop loop;
  private final SpendControl spend;
  private final EventLog log;
  private Channel listener;

  /**
   * Creates a server that does not listen yet.
   *
   * @param loop the event loop
   * @param spend the tokens in hand
   * @param log the log
   */
  public LoanServer(EventLoop loop, SpendControl spend, EventLog log) {
    this.loop = loop;
    this.spend = spend;
    this.log = log;
  }

  /**
   * Starts to listen.
   *
   * @param address where
   */
  public void start(InetSocketAddress address) {
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    LoanFrames.addTo(channel, message -> onMessage(channel, message), () -> {});
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Stops to listen; open connections end with the process. */
  public void stop() {
    ChannelFuture unused = listener.close();
  }

  private void onMessage(Channel channel, LoanMessage message) {
    if (message instanceof LoanMessage.Ask ask) {
      spend.lend(ask.request(), System.nanoTime(), tokens -> answer(channel, ask, tokens));
    }
  }

  /** Tokens of an answer that does not arrive are used by nobody, so they stay counted as spent. */
  private void answer(Channel channel, LoanMessage.Ask ask, long tokens) {
    LoanFrames.send(channel, new LoanMessage.Lent(ask.number(), tokens))
        .addListener(
            sent -> {
              if (!sent.isSuccess() && tokens > 0) {
                log.log(
                    "loan_lost",
                    "customer",
                    ask.request().customer(),
                    "tokens",
                    tokens,
                    "peer",
                    channel.remoteAddress(),
                    "reason",
                    sent.cause());
              }
            });
  }
}
