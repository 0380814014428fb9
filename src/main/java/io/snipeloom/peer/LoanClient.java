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
 * Borrows tokens from the other instances.
 *
 * <p>A few are asked at a time: first the one that lent last to the same customer, then others at
 * random. Belongs to its event loop.
 */
public final class LoanClient implements LoanPeers {
  /** The instances that are asked at a time. */
  private static final int ASKED = 3;

  /** An instance that does not answer for this long is not waited for any longer. */
  private static final long ANSWER_MILLIS = 80;

  private final EventLoop loop;
  private final Random random;
  private final Map<String, LoanConnection> links = new HashMap<>();
  private final Map<CustomerId, String> lastLenders = new HashMap<>();

  /**
   * Creates links to nobody.
   *
   * @param loop the event loop
   * @param random picks among the instances
   */
  public LoanClient(EventLoop loop, Random random) {
    this.loop = loop;
    this.random = random;
  }

  /**
   * Takes the other instances that are alive.
   *
   * @param addresses where they lend, by name
   */
  public void peers(Map<String, InetSocketAddress> addresses) {
    List<String> gone =
        links.keySet().stream().filter(name -> !addresses.containsKey(name)).toList();
    gone.forEach(name -> links.remove(name).close());
    addresses.forEach(
        (name, address) -> {
          LoanConnection before = links.get(name);
          if (before == null || !before.address().equals(address)) {
            links.put(name, new LoanConnection(loop, address));
            if (before != null) {
              before.close();
            }
          }
        });
  }

  @Override
  public void borrow(LoanRequest request, Listener listener) {
    List<String> asked = lenders(request.customer());
    if (asked.isEmpty()) {
      listener.onDone();
      return;
    }
    Round round = new Round(request.customer(), asked.size(), listener);
    var unused = loop.schedule(round::end, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    for (String name : asked) {
      links.get(name).ask(request, tokens -> round.onAnswer(name, tokens));
    }
  }

  private List<String> lenders(CustomerId customer) {
    List<String> names = new ArrayList<>(links.keySet());
    Collections.shuffle(names, random);
    String last = lastLenders.get(customer);
    if (names.remove(last)) {
      names.add(0, last);
    }
    return names.subList(0, Math.min(ASKED, names.size()));
  }

  /** The questions for one request. */
  private final class Round {
    private final CustomerId customer;
    private final Listener listener;
    private int due;
    private boolean ended;

    Round(CustomerId customer, int due, Listener listener) {
      this.customer = customer;
      this.due = due;
      this.listener = listener;
    }

    void onAnswer(String name, long tokens) {
      if (tokens > 0) {
        lastLenders.put(customer, name);
        listener.onLent(tokens);
      }
      due--;
      if (due == 0) {
        end();
      }
    }

    void end() {
      if (!ended) {
        ended = true;
        listener.onDone();
      }
    }
  }
}
