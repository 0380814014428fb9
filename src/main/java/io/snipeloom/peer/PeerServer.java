package io.snipeloom.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.snipeloom.resumption.PeerAnswer;
import io.snipeloom.resumption.StreamContinuity;
import io.snipeloom.routing.DemandReport;
import io.snipeloom.spend.CustomerPart;
import io.snipeloom.spend.SpendControl;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * Serves the other instances: lends them tokens that this instance has claimed but not used,
 * receives what they tell of their requests and claims, and tells them the claims that it knows and
 * what began the streams that they ask for.
 *
 * <p>Confined to the event loop thread.
 */
public final class PeerServer {
  /** Acknowledgements only show that the connection works, so few are enough. */
  private static final int REPORTS_PER_ACKNOWLEDGEMENT = 5;

  private final EventLoop loop;
  private final LinkTraffic traffic;
  private final SpendControl spend;
  private final StreamContinuity streams;
  private final Consumer<DemandReport> demandListener;
  private final EventLog log;
  private Channel listener;

  /**
   * Creates a server, which does not listen until {@link #start} is called.
   *
   * @param loop the event loop of the connections
   * @param traffic counts the bytes of the connections
   * @param spend holds the tokens to lend
   * @param streams knows what began the streams of this instance
   * @param demandListener receives what other instances tell of their requests
   * @param log records loans whose response could not be sent
   */
  public PeerServer(
      EventLoop loop,
      LinkTraffic traffic,
      SpendControl spend,
      StreamContinuity streams,
      Consumer<DemandReport> demandListener,
      EventLog log) {
    this.loop = loop;
    this.traffic = traffic;
    this.spend = spend;
    this.streams = streams;
    this.demandListener = demandListener;
    this.log = log;
  }

  /**
   * Starts to listen.
   *
   * @param address the loan address of this instance
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
                    PeerFrames.addTo(
                        channel, traffic, message -> onMessage(channel, message), () -> {});
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Stops listening. Open connections stay open until the process exits. */
  public void stop() {
    ChannelFuture unused = listener.close();
  }

  private void onMessage(Channel channel, PeerMessage message) {
    if (message instanceof LoanMessage.Request request) {
      spend.lend(request.loan(), System.nanoTime(), tokens -> respond(channel, request, tokens));
    } else if (message instanceof DemandMessage.Report told) {
      demandListener.accept(told.report());
      acknowledge(channel, told.sequence());
    } else if (message instanceof OriginMessage.Request request) {
      PeerAnswer answer = streams.answer(request.attempts(), System.nanoTime());
      ChannelFuture unused =
          PeerFrames.send(channel, new OriginMessage.Response(request.correlationId(), answer));
    } else if (message instanceof ClaimMessage.Request request) {
      tellClaims(channel, request);
    } else if (message instanceof ClaimMessage.Notice notice) {
      spend.onNotice(notice.parts(), System.nanoTime());
      ChannelFuture unused =
          PeerFrames.send(channel, new ClaimMessage.Response(notice.correlationId(), List.of()));
    }
  }

  /** Tells the claims of this instance; if there are too many for a message, it does not answer. */
  private void tellClaims(Channel channel, ClaimMessage.Request request) {
    List<CustomerPart> parts = spend.tellClaims(request.era(), System.nanoTime());
    if (parts.size() > ClaimMessage.MAX_PARTS) {
      log.log("claims_not_told", "parts", parts.size(), "peer", channel.remoteAddress());
      return;
    }
    ChannelFuture unused =
        PeerFrames.send(channel, new ClaimMessage.Response(request.correlationId(), parts));
  }

  private static void acknowledge(Channel channel, long sequence) {
    if (sequence == 1 || sequence % REPORTS_PER_ACKNOWLEDGEMENT == 0) {
      ChannelFuture unused =
          PeerFrames.send(
              channel, new DemandMessage.Acknowledgement(sequence, System.currentTimeMillis()));
    }
  }

  /**
   * Sends the response to a request. If it cannot be sent, no instance uses the lent tokens, but
   * they remain part of the claimed total.
   */
  private void respond(Channel channel, LoanMessage.Request request, long tokens) {
    PeerFrames.send(channel, new LoanMessage.Response(request.correlationId(), tokens))
        .addListener(
            sent -> {
              if (!sent.isSuccess() && tokens > 0) {
                log.log(
                    "loan_lost",
                    "customer",
                    request.loan().customer(),
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
