package io.snipeloom.coordination;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.client.Instance;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.MessageCodec;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.SlopeTable;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Measures how the cost of messages, of the instance list, of the subset plan, of picking a back
 * end and of choosing the holders of a budget grows with the size of the fleet.
 */
final class FleetSlopes {
  private static final long[] DATA_BYTES = {20, 200, 2_000, 20_000};
  private static final long[] HEARTBEATS = {1, 10, 100, 1_000};
  private static final long[] REPLICAS = {16, 79, 790, 7_900};
  private static final long[] HOLDER_CANDIDATES = {7, 73, 733, 2_200};
  private static final int[] FLEET_PERCENTS = {1, 5, 10, 50, 100};
  private static final int FULL_SIDECARS = 7_900;
  private static final int FULL_ROUTERS = 2_200;
  private static final int UPSTREAMS = 15;
  private static final int ZONES = 7;
  private static final int CODEC_RUNS = 2_000;
  private static final int PICKS = 5_000;
  private static final long SEED = 7;

  private final SlopeTable table;

  private FleetSlopes(SlopeTable table) {
    this.table = table;
  }

  static void addTo(SlopeTable table) {
    FleetSlopes slopes = new FleetSlopes(table);
    slopes.addHeartbeats();
    slopes.addChunks();
    slopes.addLists();
    slopes.addPicks();
    slopes.addHolders();
  }

  private void addHeartbeats() {
    Message heartbeat = new Message.Heartbeat(120, 40, 256);
    byte[] frame = MessageCodec.encode(heartbeat);
    long[] bytes = new long[HEARTBEATS.length];
    long[] allocated = new long[HEARTBEATS.length];
    double[][] nanos = new double[HEARTBEATS.length][];
    for (int i = 0; i < HEARTBEATS.length; i++) {
      int count = (int) HEARTBEATS[i];
      bytes[i] = (long) count * frame.length;
      Runnable action = () -> encodeAndDecode(heartbeat, frame, count);
      nanos[i] = SlopeTable.nanos(CODEC_RUNS / count + 10, action);
      allocated[i] = SlopeTable.allocated(10, action);
    }
    table.addCounts("heartbeat frame without its length", "heartbeats", "bytes", HEARTBEATS, bytes);
    table.addCounts(
        "heartbeat encode+decode allocation", "heartbeats", "bytes", HEARTBEATS, allocated);
    table.addTimes("heartbeat encode+decode", "heartbeats", "ns", HEARTBEATS, nanos);
  }

  private static void encodeAndDecode(Message message, byte[] frame, int count) {
    for (int i = 0; i < count; i++) {
      MessageCodec.encode(message);
      MessageCodec.decode(frame);
    }
  }

  private void addChunks() {
    AttemptId attempt = AttemptId.of(Incarnation.of("router-0001#3f9a2c1b"), 123_456);
    long[] bytes = new long[DATA_BYTES.length];
    double[][] nanos = new double[DATA_BYTES.length][];
    for (int i = 0; i < DATA_BYTES.length; i++) {
      Message chunk = new Message.AnswerChunk(attempt, 789, new byte[(int) DATA_BYTES[i]]);
      byte[] frame = MessageCodec.encode(chunk);
      bytes[i] = frame.length;
      nanos[i] = SlopeTable.nanos(CODEC_RUNS, () -> encodeAndDecode(chunk, frame, 1));
    }
    table.addCounts("answer chunk frame", "data bytes", "bytes", DATA_BYTES, bytes);
    table.addTimes("answer chunk encode+decode", "data bytes", "ns", DATA_BYTES, nanos);
  }

  private static List<Instance> fleet(int percent) {
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < FULL_ROUTERS * percent / 100; i++) {
      instances.add(instance("router-%04d".formatted(i), Instance.Role.ROUTER, null, i));
    }
    for (int i = 0; i < FULL_SIDECARS * percent / 100; i++) {
      UpstreamId upstream = UpstreamId.of("model-%02d".formatted(i % UPSTREAMS));
      instances.add(instance("sidecar-%04d".formatted(i), Instance.Role.SIDECAR, upstream, i));
    }
    return instances;
  }

  private static Instance instance(String id, Instance.Role role, UpstreamId upstream, int number) {
    return new Instance(
        InstanceId.of(id),
        role,
        Zone.of("zone-" + number % ZONES),
        upstream,
        "10.20." + number / 250 + "." + number % 250,
        7_400,
        false);
  }

  private void addLists() {
    int sizes = FLEET_PERCENTS.length;
    long[] entries = new long[sizes];
    long[] pairs = new long[sizes];
    long[] bytes = new long[sizes];
    long[] heaps = new long[sizes];
    double[][] parses = new double[sizes][];
    double[][] views = new double[sizes][];
    double[][] plans = new double[sizes][];
    for (int i = 0; i < sizes; i++) {
      long before = SlopeTable.usedHeap();
      List<Instance> fleet = fleet(FLEET_PERCENTS[i]);
      FleetView view = new FleetView();
      view.onList(fleet, 0);
      heaps[i] = SlopeTable.usedHeap() - before;
      byte[] json = write(fleet);
      entries[i] = fleet.size();
      bytes[i] = json.length;
      parses[i] = SlopeTable.nanos(3, () -> read(json));
      views[i] = SlopeTable.nanos(3, () -> view.onList(fleet, 1));
      List<Instance> routers = view.instances(Instance.Role.ROUTER);
      List<Instance> sidecars = view.instances(Instance.Role.SIDECAR);
      pairs[i] = (long) routers.size() * sidecars.size();
      plans[i] = SlopeTable.nanos(1, () -> plan(routers, sidecars));
    }
    table.addCounts("instance list as JSON", "entries", "bytes", entries, bytes);
    table.addCounts("fleet view heap, list included", "entries", "bytes", entries, heaps);
    table.addTimes("instance list parse", "entries", "ns", entries, parses);
    table.addTimes("fleet view poll", "entries", "ns", entries, views);
    table.addTimes("subset plan of one router", "routers x sidecars", "ns", pairs, plans);
  }

  private static void plan(List<Instance> routers, List<Instance> sidecars) {
    SubsetPlan plan = SubsetPlan.of(routers);
    Map<UpstreamId, List<Instance>> byUpstream =
        sidecars.stream().collect(Collectors.groupingBy(Instance::upstream));
    Collection<Set<InstanceId>> chosen =
        byUpstream.values().stream().map(members -> plan.chosen(routers.get(0), members)).toList();
    if (chosen.size() != UPSTREAMS) {
      throw new IllegalStateException("an upstream is missing");
    }
  }

  private void addPicks() {
    double[][] nanos = new double[REPLICAS.length][];
    VirtualClock clock = new VirtualClock();
    for (int i = 0; i < REPLICAS.length; i++) {
      List<BackEnd> members =
          IntStream.range(0, (int) REPLICAS[i])
              .mapToObj(number -> FakeLink.backEnd("s" + number, "z" + number % ZONES, clock))
              .toList();
      BackEnds candidates = BackEnds.of(members);
      PrefixIndex prefixes = PrefixIndex.of(1024, clock);
      PrefixChain prefix = PrefixChain.ofHashes(11, 12, 13, 14);
      prefixes.recordSend(members.get(0), prefix);
      BackEndPicker picker = BackEndPicker.of(RoutingPolicy.SCORED, prefixes, clock);
      RouteRequest request =
          new RouteRequest(FakeLink.MODEL, Zone.of("z0"), prefix, Urgency.PROMPT, 0, Set.of());
      SplittableRandom random = new SplittableRandom(SEED);
      nanos[i] = SlopeTable.nanos(PICKS, () -> picker.pick(request, candidates, random));
    }
    table.addTimes("pick of a back end, scored", "replicas linked", "ns", REPLICAS, nanos);
  }

  private void addHolders() {
    double[][] nanos = new double[HOLDER_CANDIDATES.length][];
    for (int i = 0; i < HOLDER_CANDIDATES.length; i++) {
      List<InstanceId> routers =
          IntStream.range(0, (int) HOLDER_CANDIDATES[i])
              .mapToObj(number -> InstanceId.of("router-%04d".formatted(number)))
              .toList();
      nanos[i] = SlopeTable.nanos(20, () -> BudgetHolderPlacement.of(BudgetId.of("b-1"), routers));
    }
    table.addTimes("holders of one budget", "routers of region", "ns", HOLDER_CANDIDATES, nanos);
  }

  private static byte[] write(List<Instance> fleet) {
    try {
      return new ObjectMapper().writeValueAsBytes(fleet);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Instance[] read(byte[] json) {
    try {
      return new ObjectMapper().readValue(json, Instance[].class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
