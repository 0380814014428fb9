package io.snipeloom.coordination;

import io.snipeloom.routing.RendezvousHash;
import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws a seeded trace: a few large customers, sessions that extend a shared prompt prefix. */
final class TrialTrace {
  private static final int CUSTOMERS = 10;
  private static final int LARGE = 3;
  private static final double LARGE_WEIGHT = 8;
  private static final int TEMPLATES = 4;
  private static final int TEMPLATE_BLOCKS = 12;
  private static final int SESSIONS = 12;
  private static final int MAX_BLOCKS = 48;
  private static final double NEW_SESSION = 0.25;
  private static final double MEAN_PLAIN_MILLIS = 60;

  private final SplittableRandom random;
  private final TrialShape.Service service;
  private final int customers;
  private final int routers;
  private final double[] weights;
  private final long[][][] sessions;

  TrialTrace(TrialShape.Service service, int scale, int routers, long seed) {
    this.random = new SplittableRandom(seed);
    this.service = service;
    this.customers = CUSTOMERS * scale;
    this.routers = routers;
    this.weights = new double[customers];
    this.sessions = new long[customers][SESSIONS][];
    for (int i = 0; i < customers; i++) {
      weights[i] = i % CUSTOMERS < LARGE ? LARGE_WEIGHT : 1;
    }
  }

  /** Draws Poisson arrivals at a rate per second until an end in nanoseconds. */
  List<TrialRequest> draw(double rate, long end) {
    List<TrialRequest> requests = new ArrayList<>();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / rate * TrialClock.SECOND;
      if (at >= end) {
        return requests;
      }
      requests.add(next((long) at));
    }
  }

  private TrialRequest next(long at) {
    int customer = customer();
    TrialShape.Traffic traffic = traffic();
    double draw = -Math.log(1 - random.nextDouble());
    int tokens = Math.min(4096, (int) (traffic.meanTokens() * (0.3 + 0.7 * draw)));
    return new TrialRequest(
        at,
        random.nextInt(routers),
        CustomerId.of("customer-" + customer),
        service.requestClass(traffic),
        service.isModel() ? prefix(customer) : PrefixChain.empty(),
        Math.max(1, tokens),
        (long) (MEAN_PLAIN_MILLIS * draw * TrialClock.MILLI));
  }

  private PrefixChain prefix(int customer) {
    int session = random.nextInt(SESSIONS);
    long[] held = sessions[customer][session];
    if (held == null || held.length >= MAX_BLOCKS || random.nextDouble() < NEW_SESSION) {
      held = template(customer, session % TEMPLATES);
    }
    long[] longer = java.util.Arrays.copyOf(held, held.length + 3 + random.nextInt(6));
    for (int i = held.length; i < longer.length; i++) {
      longer[i] = RendezvousHash.mix(random.nextLong());
    }
    sessions[customer][session] = longer;
    return PrefixChain.ofHashes(longer);
  }

  private static long[] template(int customer, int template) {
    long[] blocks = new long[TEMPLATE_BLOCKS];
    for (int i = 0; i < blocks.length; i++) {
      blocks[i] = RendezvousHash.mix((customer * 31L + template) * 131 + i + 1);
    }
    return blocks;
  }

  private int customer() {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double draw = random.nextDouble() * total;
    for (int i = 0; i < customers; i++) {
      draw -= weights[i];
      if (draw < 0) {
        return i;
      }
    }
    return customers - 1;
  }

  private TrialShape.Traffic traffic() {
    double draw = random.nextDouble();
    for (TrialShape.Traffic kind : service.traffic()) {
      draw -= kind.share();
      if (draw < 0) {
        return kind;
      }
    }
    return service.traffic().get(0);
  }
}
