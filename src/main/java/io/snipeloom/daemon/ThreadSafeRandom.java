package io.snipeloom.daemon;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/** A random generator that several threads may use at the same time. */
final class ThreadSafeRandom implements RandomGenerator {

  @Override
  public long nextLong() {
    return ThreadLocalRandom.current().nextLong();
  }
}
