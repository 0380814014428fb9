package io.snipeloom.coordination;

import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionEvent.DropReason;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import io.snipeloom.state.SnapshotAssembler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A process with a replica of the decision state and a writer that retries lost appends. */
abstract class ScheduleNode implements RecordSink {
  private static final int MAX_READ = 12;

  final ScheduleWorld world;
  final Incarnation id;
  private final List<DecisionRecord> queue = new ArrayList<>();
  private final List<DecisionRecord> resend = new ArrayList<>();
  private final Map<Long, List<DecisionRecord>> unresolved = new HashMap<>();
  private DecisionState state;
  private SnapshotAssembler assembler;
  private long assemblerNext;
  private RecordBatch inFlight;
  private long sequence;
  private long configurationOffset = -1;
  private boolean reloaded;
  boolean paused;
  boolean cutFromLog;
  boolean cutFromPeers;

  ScheduleNode(ScheduleWorld world, Incarnation id) {
    this.world = world;
    this.id = id;
    load();
  }

  abstract void onEvent(DecisionEvent event);

  abstract void work();

  DecisionState state() {
    return state;
  }

  boolean isReady() {
    return assembler == null;
  }

  @Override
  public CompletionStage<Long> append(List<DecisionRecord> records) {
    queue.addAll(records);
    return new CompletableFuture<>();
  }

  /** Learns that events were passed over, once a snapshot is loaded. */
  void onReloaded() {}

  private void reload() {
    reloaded = true;
    load();
  }

  private void load() {
    if (world.log.firstRetained() == 0) {
      state = world.limits.empty();
      assembler = null;
    } else {
      assembler = world.limits.assembler(world.log.firstRetained());
      assemblerNext = world.log.firstRetained();
    }
  }

  final void tick() {
    if (paused) {
      return;
    }
    if (!cutFromLog && !world.log.isDown()) {
      read();
      pump();
    }
    if (isReady()) {
      work();
    }
  }

  private void read() {
    if (assembler != null) {
      assemble();
    }
    if (assembler == null && !state.canContinueFrom(world.log.firstRetained())) {
      reload();
      return;
    }
    for (int i = 0; assembler == null && i < MAX_READ; i++) {
      long offset = Math.max(state.appliedOffset() + 1, world.log.firstRetained());
      if (offset >= world.log.next()) {
        return;
      }
      apply(offset);
    }
  }

  private void assemble() {
    if (assemblerNext < world.log.firstRetained()) {
      reload();
    }
    while (assembler != null && assemblerNext < world.log.next()) {
      Optional<DecisionState> found = assembler.offer(world.log.at(assemblerNext));
      assemblerNext++;
      if (found.isPresent()) {
        state = found.get();
        assembler = null;
        world.oracle.compare(this);
        if (reloaded) {
          onReloaded();
        }
      }
    }
  }

  private void apply(long offset) {
    RecordBatch batch = world.log.at(offset);
    List<DecisionEvent> events = state.apply(offset, batch).events();
    if (batch.writer().equals(id)) {
      resolve(batch, events);
    }
    events.forEach(this::onEvent);
    world.oracle.compare(this);
    world.oracle.require(
        state.configuration().offset() >= configurationOffset, "configuration went back");
    configurationOffset = state.configuration().offset();
  }

  /** Learns that a batch of this node had its effect, or must be sent again in order. */
  private void resolve(RecordBatch batch, List<DecisionEvent> events) {
    List<DecisionRecord> records = unresolved.remove(batch.sequence());
    boolean stale =
        !events.isEmpty()
            && events.get(events.size() - 1) instanceof DecisionEvent.BatchDropped dropped
            && dropped.reason() == DropReason.STALE;
    if (stale && records != null) {
      resend.addAll(records);
    }
  }

  /** Forgets what was sent, and what is to be sent except reports of what happened. */
  final void keepReportsOnly() {
    unresolved.clear();
    resend.clear();
    queue.removeIf(
        record ->
            !(record instanceof DecisionRecord.AttemptSettled
                || record instanceof DecisionRecord.OutcomeRecorded));
  }

  private void pump() {
    boolean mayBuild = resend.isEmpty() || unresolved.isEmpty();
    if (inFlight == null && mayBuild && isReady()) {
      build();
    }
    if (inFlight != null) {
      send(RecordCodec.encode(inFlight));
    }
  }

  private void build() {
    List<DecisionRecord> records = new ArrayList<>(resend);
    records.addAll(queue);
    resend.clear();
    queue.clear();
    if (!records.isEmpty()) {
      sequence++;
      inFlight = new RecordBatch(id, sequence, state.appliedOffset(), records);
      unresolved.put(sequence, inFlight.records());
    }
  }

  private void send(byte[] bytes) {
    int fate = world.random.nextInt(20);
    if (fate == 0) {
      return;
    }
    world.log.append(bytes);
    if (fate == 1) {
      return;
    }
    if (fate <= 3) {
      world.log.keepLateCopy(bytes);
    }
    inFlight = null;
  }
}
