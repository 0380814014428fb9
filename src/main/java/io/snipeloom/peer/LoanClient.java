package io.snipeloom.peer;

import io.netty.channel.EventLoop;
import io.snipeloom.spend.CustomerHolders;
import io.snipeloom.spend.LoanPeers;
import io.snipeloom.spend.LoanRequest;
import io.snipeloom.state.CustomerId;
import io.snipeloom.telemetry.LinkTraffic;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Borrows tokens from other instances.
 *
 * <p>In a large fleet a loan is requested from the instances that claim tokens of the customer
 * ahead, one after the other, until one lends enough: tokens lent by several would lie in pieces
 * that are too small for a request. Otherwise it is requested from a few instances at once, from
 * the last one that lent tokens of the customer and from others chosen at random. Confined to the
 * event loop thread.
 */
public final class LoanClient implements LoanPeers {
  /** The maximum number of instances that each loan is requested from. */
  private static final int MAX_LENDERS = 3;

  /**
   * How long a loan waits for responses. Tokens of a later response are still accepted, but the
   * caller of {@link #borrow} is not kept waiting for them.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 80;

  /** How long an instance may take to respond before the next one is asked as well. */
  private static final long NEXT_LENDER_MILLIS = 25;

  private final EventLoop loop;
  private final LinkTraffic traffic;
  private final Random random;
  private final Map<String, LoanConnection> connections = new HashMap<>();
  private final Map<CustomerId, String> lastLenders = new HashMap<>();
  private CustomerHolders holders = CustomerHolders.ALONE;

  /**
   * Creates a client that knows no other instances yet.
   *
   * @param loop the event loop of the connections
   * @param traffic counts the bytes of the connections
   * @param random chooses the instances to borrow from
   */
  public LoanClient(EventLoop loop, LinkTraffic traffic, Random random) {
    this.loop = loop;
    this.traffic = traffic;
    this.random = random;
  }

  /**
   * Replaces the set of instances to borrow from. Connections to instances that are no longer in
   * it, or whose address has changed, are closed.
   *
   * @param addresses the loan addresses of the other live instances, by instance name
   * @param newHolders which instances hold tokens for the fleet
   */
  public void updatePeers(Map<String, InetSocketAddress> addresses, CustomerHolders newHolders) {
    holders = newHolders;
    List<String> gone =
        connections.keySet().stream().filter(name -> !addresses.containsKey(name)).toList();
    gone.forEach(name -> connections.remove(name).close());
    addresses.forEach(
        (name, address) -> {
          LoanConnection previous = connections.get(name);
          if (previous == null || !previous.address().equals(address)) {
            connections.put(name, new LoanConnection(loop, address, traffic));
            if (previous != null) {
              previous.close();
            }
          }
        });
  }

  @Override
  public void borrow(LoanRequest request, Listener listener) {
    PendingLoan loan = new PendingLoan(request, chooseLenders(request.customer()), listener);
    var unused = loop.schedule(loan::complete, RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    int askedAtOnce = holders.othersOf(request.customer()).isEmpty() ? MAX_LENDERS : 1;
    for (int i = 0; i < askedAtOnce; i++) {
      loan.askNext();
    }
  }

  /**
   * Returns those that hold tokens of the customer, then the last lender, then others at random.
   */
  private Deque<String> chooseLenders(CustomerId customer) {
    List<String> others = new ArrayList<>(connections.keySet());
    Collections.shuffle(others, random);
    Set<String> names = new LinkedHashSet<>(holders.othersOf(customer));
    names.add(lastLenders.get(customer));
    names.addAll(others);
    names.retainAll(connections.keySet());
    return new ArrayDeque<>(names.stream().limit(MAX_LENDERS).toList());
  }

  /** The requests to several instances for one loan. */
  private final class PendingLoan {
    private final LoanRequest request;
    private final Deque<String> lenders;
    private final Listener listener;
    private final Set<String> pending = new HashSet<>();
    private long lentTokens;
    private boolean completed;

    PendingLoan(LoanRequest request, Deque<String> lenders, Listener listener) {
      this.request = request;
      this.lenders = lenders;
      this.listener = listener;
    }

    /** Asks the next instance for what is still missing; completes if none is left to wait for. */
    void askNext() {
      boolean enough = lentTokens >= request.missingTokens();
      if (completed || enough || lenders.isEmpty()) {
        if (pending.isEmpty()) {
          complete();
        }
        return;
      }
      String name = lenders.poll();
      LoanConnection connection = connections.get(name);
      if (connection == null) {
        askNext();
        return;
      }
      pending.add(name);
      connection.request(request.less(lentTokens), tokens -> onResponse(name, tokens));
      var unused = loop.schedule(() -> onSlow(name), NEXT_LENDER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onSlow(String name) {
      if (pending.contains(name)) {
        askNext();
      }
    }

    private void onResponse(String name, long tokens) {
      pending.remove(name);
      if (tokens > 0) {
        lentTokens += tokens;
        lastLenders.put(request.customer(), name);
        listener.onLent(tokens);
      }
      askNext();
    }

    void complete() {
      if (!completed) {
        completed = true;
        listener.onDone();
      }
    }
  }
}
