package io.snipeloom.buffering;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaState;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.CustomerId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RequestBuffersTest {
  private static final BufferBounds BOUNDS = BufferBounds.of(258, 96L << 20);
  private static final int LARGEST_BYTES = 4_194_304;

  private final RequestBuffers buffers = new RequestBuffers(BOUNDS);

  @Test
  void largestBodyIsHeldAlsoByTheSmallestInstance() {
    assertThat(hold("one", LARGEST_BYTES).isPresent(), is(true));
    assertThat(hold("two", LARGEST_BYTES - 1_000_000).isPresent(), is(true));
  }

  /** Answers the load of large bodies that wait for replicas that read slowly. */
  @Test
  void largeBodiesLeaveRoomForSmallOnes() {
    for (int i = 0; i < 50; i++) {
      hold("customer-" + i, 1_000_000);
    }
    for (int i = 0; i < 200; i++) {
      assertThat("small body " + i, hold("small", 10_000).isPresent(), is(true));
    }
  }

  @Test
  void largeBodiesOfOneCustomerLeaveRoomForLargeOnesOfOthers() {
    for (int i = 0; i < 50; i++) {
      hold("hot", 1_000_000);
    }
    assertThat(hold("other", 1_000_000).isPresent(), is(true));
  }

  @Test
  void bytesAreReleasedWithTheLastUser() {
    RequestBuffer body = hold("one", 100_000).get();
    body.retain();
    body.release();
    assertThat(buffers.heldBytes(), is(100_000L));
    body.release();
    assertThat(buffers.heldBytes(), is(0L));
    assertThrows(IllegalStateException.class, body::release);
  }

  @Property(tries = 100)
  void heldBytesStayWithinTheBoundAndAreAllReleased(@ForAll long seed) {
    Random random = new Random(seed);
    RequestBuffers held = new RequestBuffers(BOUNDS);
    Deque<RequestBuffer> bodies = new ArrayDeque<>();
    for (int step = 0; step < 500; step++) {
      RequestBuffer body = held.open(Optional.of(CustomerId.of("c" + random.nextInt(3))));
      body.tryGrowTo(random.nextInt(LARGEST_BYTES));
      body.tryGrowTo(random.nextInt(LARGEST_BYTES));
      bodies.add(body);
      assertThat(held.heldBytes(), lessThanOrEqualTo(BOUNDS.requestBytes()));
      if (random.nextBoolean()) {
        bodies.poll().release();
      }
    }
    bodies.forEach(RequestBuffer::release);
    assertThat(held.heldBytes(), is(0L));
    RequestBuffer last = held.open(Optional.of(CustomerId.of("c0")));
    assertThat("the customer holds nothing", last.tryGrowTo(LARGEST_BYTES), is(true));
  }

  @Test
  void bodyUnderWayToReplicaIsCountedUntilItIsWrittenAndAnswered() {
    ReplicaBodies bodies = new ReplicaBodies(BOUNDS);
    ReplicaId replica = new ReplicaId("i-1");
    BodyTransfer transfer = bodies.begin(replica, 1_000);
    assertThat(bodies.unwrittenBytes(replica), is(1_000L));
    transfer.onWritten();
    transfer.onWritten();
    assertThat(bodies.unwrittenBytes(replica), is(0L));
    assertThat(bodies.unansweredBytes(replica), is(1_000L));
    transfer.onEnded();
    transfer.onEnded();
    assertThat(bodies.mostUnansweredBytes(), is(0L));
  }

  /** Answers the load of a replica that takes no bodies, beside one that does. */
  @Test
  void replicaThatDoesNotTakeBodiesIsNotSentMore() {
    ReplicaBodies bodies = new ReplicaBodies(BOUNDS);
    List<ReplicaView> both = List.of(view("slow"), view("quick"));
    ReplicaId slow = new ReplicaId("slow");
    bodies.begin(slow, LARGEST_BYTES);
    assertThat(ids(bodies.withRoom(both, 1_000)), is(List.of("slow", "quick")));
    BodyTransfer last = bodies.begin(slow, LARGEST_BYTES / 2);
    assertThat(ids(bodies.withRoom(both, 1_000)), is(List.of("quick")));
    last.onWritten();
    assertThat(ids(bodies.withRoom(both, 1_000)), is(List.of("slow", "quick")));
  }

  private static List<String> ids(List<ReplicaView> views) {
    return views.stream().map(view -> view.replica().id().value()).toList();
  }

  private static ReplicaView view(String id) {
    return ReplicaView.of(
        new Replica(
            new ReplicaId(id),
            1,
            "service",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 9_000),
            new SoftwareVersion("v1"),
            "zone",
            64,
            ReplicaState.READY),
        null);
  }

  private Optional<RequestBuffer> hold(String customer, int bytes) {
    RequestBuffer body = buffers.open(Optional.of(CustomerId.of(customer)));
    return body.tryGrowTo(bytes) ? Optional.of(body) : Optional.empty();
  }
}
