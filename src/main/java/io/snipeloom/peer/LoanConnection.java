package io.snipeloom.peer;

import io.netty.channel.EventLoop;
import io.snipeloom.spend.LoanRequest;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * The connection on which this instance borrows tokens from one other instance.
 *
 * <p>Confined to the event loop thread.
 */
final class LoanConnection {
  private final RequestConnection connection;

  LoanConnection(EventLoop loop, InetSocketAddress address, LinkTraffic traffic) {
    this.connection = new RequestConnection(loop, address, traffic);
  }

  InetSocketAddress address() {
    return connection.address();
  }

  /**
   * Requests a loan.
   *
   * @param listener called once with the number of tokens lent; 0 if there were none or if the
   *     connection failed
   */
  void request(LoanRequest request, LongConsumer listener) {
    connection.request(
        id -> new LoanMessage.Request(id, request),
        response -> listener.accept(lentTokens(response)));
  }

  private static long lentTokens(Optional<CorrelatedMessage> response) {
    return response.isPresent() && response.get() instanceof LoanMessage.Response lent
        ? lent.tokens()
        : 0;
  }

  /** Closes the connection; the listeners of pending requests get 0 tokens. */
  void close() {
    connection.close();
  }
}
