package io.snipeloom.daemon;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** A source of randomness that all threads may share. */
final class ThreadSafeRandom implements RandomGenerator {

  @Override
  public long nextLong() {
    return ThreadLocalRandom.current().nextLong();
  }
}
