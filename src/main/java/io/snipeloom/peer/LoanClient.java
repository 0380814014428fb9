package io.snipeloom.peer;

import io.netty.channel.EventLoop;
import io.snipeloom.spend.LoanPeers;
import io.snipeloom.spend.LoanRequest;
import io.snipeloom.state.CustomerId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Borrows tokens from other instances.
 *
 * <p>Each loan is requested from a few instances at once: from the last one that lent tokens of the
 * customer, and from others chosen at random. Confined to the event loop thread.
 */
public final class LoanClient implements LoanPeers {
  /** The maximum number of instances that each loan is requested from. */
  private static final int MAX_LENDERS = 3;

  /**
   * How long a loan waits for responses. Tokens of a later response are still accepted, but the
   * caller of {@link #borrow} is not kept waiting for them.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 80;

  private final EventLoop loop;
  private final Random random;
  private final Map<String, LoanConnection> connections = new HashMap<>();
  private final Map<CustomerId, String> lastLenders = new HashMap<>();

  /**
   * Creates a client that knows no other instances yet.
   *
   * @param loop the event loop of the connections
   * @param random chooses the instances to borrow from
   */
  public LoanClient(EventLoop loop, Random random) {
    this.loop = loop;
    this.random = random;
  }

  /**
   * Replaces the set of instances to borrow from. Connections to instances that are no longer in
   * it, or whose address has changed, are closed.
   *
   * @param addresses the loan addresses of the other live instances, by instance name
   */
  public void updatePeers(Map<String, InetSocketAddress> addresses) {
    List<String> gone =
        connections.keySet().stream().filter(name -> !addresses.containsKey(name)).toList();
    gone.forEach(name -> connections.remove(name).close());
    addresses.forEach(
        (name, address) -> {
          LoanConnection previous = connections.get(name);
          if (previous == null || !previous.address().equals(address)) {
            connections.put(name, new LoanConnection(loop, address));
            if (previous != null) {
              previous.close();
            }
          }
        });
  }

  @Override
  public void borrow(LoanRequest request, Listener listener) {
    List<String> lenders = chooseLenders(request.customer());
    if (lenders.isEmpty()) {
      listener.onDone();
      return;
    }
    PendingLoan loan = new PendingLoan(request.customer(), lenders.size(), listener);
    var unused = loop.schedule(loan::complete, RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    for (String name : lenders) {
      connections.get(name).request(request, tokens -> loan.onResponse(name, tokens));
    }
  }

  private List<String> chooseLenders(CustomerId customer) {
    List<String> names = new ArrayList<>(connections.keySet());
    Collections.shuffle(names, random);
    String last = lastLenders.get(customer);
    if (names.remove(last)) {
      names.add(0, last);
    }
    return names.subList(0, Math.min(MAX_LENDERS, names.size()));
  }

  /** The requests to several instances for one loan. */
  private final class PendingLoan {
    private final CustomerId customer;
    private final Listener listener;
    private int missingResponses;
    private boolean completed;

    PendingLoan(CustomerId customer, int missingResponses, Listener listener) {
      this.customer = customer;
      this.missingResponses = missingResponses;
      this.listener = listener;
    }

    void onResponse(String name, long tokens) {
      if (tokens > 0) {
        lastLenders.put(customer, name);
        listener.onLent(tokens);
      }
      missingResponses--;
      if (missingResponses == 0) {
        complete();
      }
    }

    void complete() {
      if (!completed) {
        completed = true;
        listener.onDone();
      }
    }
  }
}
