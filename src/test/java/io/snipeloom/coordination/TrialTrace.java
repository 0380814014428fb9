package io.snipeloom.coordination;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RendezvousHash;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates seeded traces of requests. A few customers are larger than the others, and each
 * customer has sessions whose prompts extend a shared prefix.
 */
final class TrialTrace {
  private static final int CUSTOMERS_PER_SCALE = 10;
  private static final int LARGE_CUSTOMERS_PER_SCALE = 3;
  private static final double LARGE_CUSTOMER_WEIGHT = 8;
  private static final int TEMPLATES_PER_CUSTOMER = 4;
  private static final int TEMPLATE_BLOCKS = 12;
  private static final int SESSIONS_PER_CUSTOMER = 12;
  private static final int MAX_PROMPT_BLOCKS = 48;
  private static final double NEW_SESSION_PROBABILITY = 0.25;
  private static final double MEAN_SERVICE_MILLIS = 60;

  private final SplittableRandom random;
  private final TrialWorkload.Service service;
  private final int customers;
  private final int routers;
  private final double[] weights;
  private final long[][][] sessions;

  TrialTrace(TrialWorkload.Service service, int scale, int routers, long seed) {
    this.random = new SplittableRandom(seed);
    this.service = service;
    this.customers = CUSTOMERS_PER_SCALE * scale;
    this.routers = routers;
    this.weights = new double[customers];
    this.sessions = new long[customers][SESSIONS_PER_CUSTOMER][];
    for (int i = 0; i < customers; i++) {
      weights[i] = i % CUSTOMERS_PER_SCALE < LARGE_CUSTOMERS_PER_SCALE ? LARGE_CUSTOMER_WEIGHT : 1;
    }
  }

  /** Returns Poisson arrivals at a rate per second from 0 until an end in nanoseconds. */
  List<TrialRequest> generate(double ratePerSecond, long endNanos) {
    List<TrialRequest> requests = new ArrayList<>();
    double atNanos = 0;
    while (true) {
      atNanos += -Math.log(1 - random.nextDouble()) / ratePerSecond * VirtualClock.SECOND;
      if (atNanos >= endNanos) {
        return requests;
      }
      requests.add(nextRequest((long) atNanos));
    }
  }

  private TrialRequest nextRequest(long atNanos) {
    int customer = drawCustomer();
    TrialWorkload.Traffic traffic = drawTraffic();
    double draw = -Math.log(1 - random.nextDouble());
    int tokens = Math.min(4096, (int) (traffic.meanTokens() * (0.3 + 0.7 * draw)));
    return new TrialRequest(
        atNanos,
        random.nextInt(routers),
        CustomerId.of("customer-" + customer),
        service.requestClass(traffic),
        service.isModel() ? prefix(customer) : PrefixChain.empty(),
        Math.max(1, tokens),
        (long) (MEAN_SERVICE_MILLIS * draw * VirtualClock.MILLI));
  }

  private PrefixChain prefix(int customer) {
    int session = random.nextInt(SESSIONS_PER_CUSTOMER);
    long[] prompt = sessions[customer][session];
    if (prompt == null
        || prompt.length >= MAX_PROMPT_BLOCKS
        || random.nextDouble() < NEW_SESSION_PROBABILITY) {
      prompt = template(customer, session % TEMPLATES_PER_CUSTOMER);
    }
    long[] extended = java.util.Arrays.copyOf(prompt, prompt.length + 3 + random.nextInt(6));
    for (int i = prompt.length; i < extended.length; i++) {
      extended[i] = RendezvousHash.mix(random.nextLong());
    }
    sessions[customer][session] = extended;
    return PrefixChain.ofHashes(extended);
  }

  private static long[] template(int customer, int template) {
    long[] blocks = new long[TEMPLATE_BLOCKS];
    for (int i = 0; i < blocks.length; i++) {
      blocks[i] = RendezvousHash.mix((customer * 31L + template) * 131 + i + 1);
    }
    return blocks;
  }

  private int drawCustomer() {
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

  private TrialWorkload.Traffic drawTraffic() {
    double draw = random.nextDouble();
    for (TrialWorkload.Traffic candidate : service.traffic()) {
      draw -= candidate.share();
      if (draw < 0) {
        return candidate;
      }
    }
    return service.traffic().get(0);
  }
}
