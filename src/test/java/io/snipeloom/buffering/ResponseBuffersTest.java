package io.snipeloom.buffering;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ResponseBuffersTest {
  private static final int READ_BYTES = 8_192;
  private static final long HEAP_BYTES = 96L << 20;

  /** The smallest machine of the users. */
  private static final BufferBounds BOUNDS = BufferBounds.of(258, HEAP_BYTES);

  private final ResponseBuffers buffers = new ResponseBuffers(BOUNDS);

  /** Answers the load of callers that read at a kilobyte a second. */
  @Test
  void responseOfSlowCallerIsReadAheadToTheBoundOfTheCaller() {
    SimulatedCaller slow = caller("slow");
    fill(slow, 10_000_000);
    assertThat(slow.buffer.queuedBytes(), greaterThanOrEqualTo(BOUNDS.callerBytes()));
    assertThat(
        slow.buffer.queuedBytes(), lessThanOrEqualTo(BOUNDS.callerBytes() + (long) READ_BYTES));
    assertThat(slow.buffer.stopReason(), is(Optional.of(StopReason.CALLER)));
  }

  @Test
  void readingResumesOnceTheCallerHasReadMostOfIt() {
    SimulatedCaller slow = caller("slow");
    fill(slow, 10_000_000);
    slow.read((int) BOUNDS.callerBytes() / 2);
    assertThat(slow.reading, is(false));
    slow.read((int) BOUNDS.callerBytes() / 2);
    assertThat(slow.reading, is(true));
  }

  /** Answers the load of a hundred slow callers of one customer beside those who read well. */
  @Test
  void slowCallersOfOneCustomerLeaveRoomForAllOthers() {
    List<SimulatedCaller> slow = callers("hot", 100);
    slow.forEach(one -> fill(one, 1_000_000));
    for (int i = 0; i < 1_000; i++) {
      SimulatedCaller other = caller("other");
      fill(other, 10_000);
      assertThat(other.closed, is(false));
      assertThat(other.reading, is(true));
      other.read(10_000);
      other.leave();
    }
    SimulatedCaller otherSlow = caller("other");
    fill(otherSlow, 1_000_000);
    assertThat(otherSlow.buffer.queuedBytes(), greaterThanOrEqualTo(1_000_000L));
    assertThat(slow.stream().filter(one -> one.closed).count(), is(0L));
  }

  @Test
  void answersOfHundredSlowCallersAreHeldWhole() {
    List<SimulatedCaller> slow = callers("hot", 100);
    slow.forEach(one -> fill(one, 100_000));
    assertThat(slow.stream().filter(one -> one.buffer.queuedBytes() >= 100_000).count(), is(100L));
  }

  /** Guards against answers that use up the room of their customer, and none of which is whole. */
  @Test
  void oldestOfHundredAnswersThatArriveTogetherComeToTheirEnds() {
    for (int readBytes : new int[] {READ_BYTES, 65_536}) {
      ResponseBuffers shared = new ResponseBuffers(BOUNDS);
      List<SimulatedCaller> slow = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        SimulatedCaller one = new SimulatedCaller(shared);
        one.buffer.begin(Optional.of(CustomerId.of("hot")));
        slow.add(one);
      }
      readInTurn(slow, readBytes, 1_000_000);
      assertThat(slow.stream().filter(one -> one.closed).count(), is(0L));
      assertThat(slow.get(0).complete, is(true));
      assertThat(slow.get(1).complete, is(true));
      assertThat(
          shared.heldBytes(),
          lessThanOrEqualTo(BOUNDS.customerBytes() + 3 * BOUNDS.callerBytes() + readBytes));
    }
  }

  // Guards against room for the oldest answers that stays promised to callers who left.
  @Test
  void nextAnswersComeToTheirEndsOnceTheOldestCallersLeft() {
    List<SimulatedCaller> slow = callers("hot", 100);
    readInTurn(slow, READ_BYTES, Integer.MAX_VALUE);
    List<SimulatedCaller> oldest = slow.subList(0, 3);
    oldest.forEach(
        one -> assertThat(one.buffer.queuedBytes(), greaterThanOrEqualTo(BOUNDS.callerBytes())));
    oldest.forEach(SimulatedCaller::leave);
    readInTurn(slow, READ_BYTES, 1_000_000);
    assertThat(slow.get(3).complete, is(true));
    assertThat(slow.get(4).complete, is(true));
    assertThat(slow.get(99).complete, is(false));
  }

  /** Answers the failure that those who read well find no room, since slow callers took it. */
  @Test
  void slowCallerYieldsToThoseWhoReadWell() {
    List<SimulatedCaller> complete = callers("complete", 4);
    complete.forEach(one -> fill(one, 1_000_000));
    complete.forEach(one -> one.buffer.onComplete());
    List<SimulatedCaller> incomplete = callers("incomplete", 4);
    incomplete.forEach(one -> fill(one, 1_000_000));
    while (incomplete.stream().noneMatch(one -> one.closed)) {
      SimulatedCaller well = caller("well");
      fill(well, 60_000);
      assertThat(well.closed, is(false));
    }
    assertThat(complete.stream().filter(one -> one.closed).count(), is(0L));
    assertThat(incomplete.stream().filter(one -> one.closed).count(), is(1L));
    assertThat(buffers.heldBytes(), lessThanOrEqualTo(BOUNDS.responseBytes()));
  }

  /** Answers the load of large bodies that all arrive at once and none of which may be split. */
  @Test
  void bodiesThatFillTheBoundTogetherDoNotWaitForEachOtherForever() {
    List<SimulatedCaller> callers = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      callers.add(caller("customer-" + i));
    }
    int complete = 0;
    boolean progress = true;
    int[] received = new int[callers.size()];
    while (progress) {
      progress = false;
      for (int i = 0; i < received.length; i++) {
        SimulatedCaller one = callers.get(i);
        if (one.reading && !one.closed) {
          one.receive(READ_BYTES);
          received[i] += READ_BYTES;
          progress = true;
        }
        if (!one.closed && received[i] >= 4_000_000) {
          complete++;
          one.passOn();
          one.leave();
        }
      }
    }
    long open = callers.stream().filter(one -> !one.closed).count();
    assertThat("waiting forever", open, is(0L));
    assertThat("complete", complete, greaterThanOrEqualTo(4));
  }

  @Test
  void bytesThatWereNotReceivedCannotBeReleased() {
    SimulatedCaller one = caller("one");
    one.receive(10);
    assertThrows(IllegalStateException.class, () -> one.buffer.onQueued(11));
    one.passOn();
    assertThrows(IllegalStateException.class, () -> one.buffer.onWritten(11));
  }

  @Test
  void unlimitedProcessStopsAtTheBoundOfTheCallerOnly() {
    ResponseBuffers unlimited = new ResponseBuffers(BufferBounds.UNLIMITED);
    for (int i = 0; i < 1_000; i++) {
      SimulatedCaller one = new SimulatedCaller(unlimited);
      fill(one, 262_144 - READ_BYTES);
      assertThat(one.reading, is(true));
      fill(one, 2 * READ_BYTES);
      assertThat(one.reading, is(false));
    }
  }

  private SimulatedCaller caller(String customer) {
    SimulatedCaller caller = new SimulatedCaller(buffers);
    caller.buffer.begin(Optional.of(CustomerId.of(customer)));
    return caller;
  }

  private List<SimulatedCaller> callers(String customer, int count) {
    List<SimulatedCaller> callers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      callers.add(caller(customer));
    }
    return callers;
  }

  /** Reads each response once in each turn, until all are whole or none is read any more. */
  private static void readInTurn(List<SimulatedCaller> callers, int readBytes, int bytes) {
    boolean progress = true;
    while (progress) {
      progress = false;
      for (SimulatedCaller caller : callers) {
        if (!caller.reading || caller.closed) {
          continue;
        }
        caller.receive(readBytes);
        caller.passOn();
        if (caller.buffer.queuedBytes() >= bytes) {
          caller.complete();
        }
        progress = true;
      }
    }
  }

  /** Reads a stream that the caller does not read, until all of it is held or reading stops. */
  private static void fill(SimulatedCaller caller, int bytes) {
    for (int held = 0; held < bytes && caller.reading; held += READ_BYTES) {
      caller.receive(Math.min(READ_BYTES, bytes - held));
      if (!caller.closed) {
        caller.passOn();
      }
    }
  }
}
