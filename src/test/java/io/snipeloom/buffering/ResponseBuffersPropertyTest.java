package io.snipeloom.buffering;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Plays callers that read, stall, fail and leave at random, on bounds that are soon reached. */
class ResponseBuffersPropertyTest {
  private static final BufferBounds BOUNDS = BufferBounds.of(24, 96L << 20);
  private static final int MAX_READ_BYTES = 65_536;
  private static final int CALLERS = 60;
  private static final int STEPS = 600;

  private final List<SimulatedCaller> callers = new ArrayList<>();

  @Property(tries = 100)
  void heldBytesStayWithinTheBoundAndAreAllReleased(@ForAll long seed) {
    ResponseBuffers buffers = new ResponseBuffers(BOUNDS);
    Random random = new Random(seed);
    for (int step = 0; step < STEPS; step++) {
      act(buffers, random);
      assertThat(buffers.heldBytes(), lessThanOrEqualTo(BOUNDS.responseBytes()));
      assertThat(buffers.heldBytes(), is(heldByCallers()));
      assertThat(buffers.heldBytes(), is(heldByCustomers(buffers)));
    }
    callers.forEach(SimulatedCaller::leave);
    assertThat(buffers.heldBytes(), is(0L));
    assertThat(heldByCustomers(buffers), is(0L));
    assertThat(buffers.stoppedResponses(), is(0));
  }

  @Property(tries = 100)
  void everyResponseEndsOnceItsCallerReads(@ForAll long seed) {
    ResponseBuffers buffers = new ResponseBuffers(BOUNDS);
    Random random = new Random(seed);
    for (int step = 0; step < STEPS; step++) {
      act(buffers, random);
    }
    boolean progress = true;
    while (progress) {
      progress = false;
      for (SimulatedCaller caller : List.copyOf(callers)) {
        if (!caller.closed && (caller.reading || caller.complete)) {
          caller.passOn();
          caller.leave();
          progress = true;
        } else if (!caller.closed && caller.buffer.queuedBytes() > 0) {
          caller.read(Integer.MAX_VALUE);
          progress = true;
        }
      }
    }
    assertThat("waiting forever", callers.stream().filter(one -> !one.closed).count(), is(0L));
  }

  /** A caller that reads well loses its response only if no slow one is left to yield. */
  @Property(tries = 100)
  void thoseWhoReadWellAreNotCutOffWhileSlowCallersHoldBytes(@ForAll long seed) {
    ResponseBuffers buffers = new ResponseBuffers(BOUNDS);
    Random random = new Random(seed);
    for (int step = 0; step < STEPS; step++) {
      act(buffers, random);
      SimulatedCaller well = open(buffers, random);
      if (well.receive(10_000) == BufferDecision.CUT_OFF) {
        assertThat(
            callers.stream().filter(one -> !one.closed && one.buffer.isSlow()).count(), is(0L));
      }
      well.leave();
    }
  }

  private void act(ResponseBuffers buffers, Random random) {
    callers.removeIf(caller -> caller.closed);
    if (callers.size() < CALLERS) {
      open(buffers, random);
    }
    SimulatedCaller caller = callers.get(random.nextInt(callers.size()));
    switch (random.nextInt(8)) {
      case 0 -> caller.read(random.nextInt(MAX_READ_BYTES));
      case 1 -> caller.retry();
      case 2 -> {
        if (random.nextInt(10) == 0) {
          caller.leave();
        }
      }
      case 3 -> caller.complete();
      case 4 -> caller.passOn();
      default -> receive(caller, random);
    }
  }

  /** Bytes that were read together arrive, also if reading stops at the first of them. */
  private static void receive(SimulatedCaller caller, Random random) {
    int reads = caller.reading ? 8 : 0;
    for (int i = 0; i < reads && !caller.closed; i++) {
      caller.receive(1 + random.nextInt(MAX_READ_BYTES / 8));
    }
  }

  private SimulatedCaller open(ResponseBuffers buffers, Random random) {
    SimulatedCaller caller = new SimulatedCaller(buffers);
    caller.buffer.begin(Optional.of(CustomerId.of("customer-" + random.nextInt(3))));
    callers.add(caller);
    return caller;
  }

  private long heldByCallers() {
    return callers.stream().mapToLong(caller -> caller.buffer.heldBytes()).sum();
  }

  private long heldByCustomers(ResponseBuffers buffers) {
    long held = 0;
    for (int i = 0; i < 3; i++) {
      held += buffers.heldBytes(CustomerId.of("customer-" + i));
    }
    return held;
  }
}
