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

/** A process with a replica of the decision state and a writer that retries failed appends. */
abstract class ScheduleNode implements RecordSink {
  private static final int MAX_BATCHES_PER_TICK = 12;

  final ScheduleSimulation simulation;
  final Incarnation id;
  private final List<DecisionRecord> queued = new ArrayList<>();
  private final List<DecisionRecord> resend = new ArrayList<>();
  private final Map<Long, List<DecisionRecord>> unconfirmed = new HashMap<>();
  private DecisionState state;
  private SnapshotAssembler assembler;
  private long assemblerOffset;
  private RecordBatch inFlight;
  private long sequence;
  private long configurationOffset = -1;
  private boolean restarted;
  boolean paused;
  boolean disconnectedFromLog;
  boolean disconnectedFromPeers;

  ScheduleNode(ScheduleSimulation simulation, Incarnation id) {
    this.simulation = simulation;
    this.id = id;
    initialize();
  }

  abstract void onEvent(DecisionEvent event);

  abstract void runTasks();

  DecisionState state() {
    return state;
  }

  boolean isReady() {
    return assembler == null;
  }

  @Override
  public CompletionStage<Long> append(List<DecisionRecord> records) {
    queued.addAll(records);
    return new CompletableFuture<>();
  }

  /** Called after the state was restored from a snapshot, which may have skipped events. */
  void onRestored() {}

  private void restart() {
    restarted = true;
    initialize();
  }

  private void initialize() {
    if (simulation.log.firstRetained() == 0) {
      state = simulation.stateFactory.empty();
      assembler = null;
    } else {
      assembler = simulation.stateFactory.assembler(simulation.log.firstRetained());
      assemblerOffset = simulation.log.firstRetained();
    }
  }

  final void tick() {
    if (paused) {
      return;
    }
    if (!disconnectedFromLog && !simulation.log.isDown()) {
      read();
      flush();
    }
    if (isReady()) {
      runTasks();
    }
  }

  private void read() {
    if (assembler != null) {
      assemble();
    }
    if (assembler == null && !state.canContinueFrom(simulation.log.firstRetained())) {
      restart();
      return;
    }
    for (int i = 0; assembler == null && i < MAX_BATCHES_PER_TICK; i++) {
      long offset = Math.max(state.appliedOffset() + 1, simulation.log.firstRetained());
      if (offset >= simulation.log.nextOffset()) {
        return;
      }
      apply(offset);
    }
  }

  private void assemble() {
    if (assemblerOffset < simulation.log.firstRetained()) {
      restart();
    }
    while (assembler != null && assemblerOffset < simulation.log.nextOffset()) {
      Optional<DecisionState> restored = assembler.offer(simulation.log.batchAt(assemblerOffset));
      assemblerOffset++;
      if (restored.isPresent()) {
        state = restored.get();
        assembler = null;
        simulation.oracle.compare(this);
        if (restarted) {
          onRestored();
        }
      }
    }
  }

  private void apply(long offset) {
    RecordBatch batch = simulation.log.batchAt(offset);
    List<DecisionEvent> events = state.apply(offset, batch).events();
    if (batch.writer().equals(id)) {
      onReadBack(batch, events);
    }
    events.forEach(this::onEvent);
    simulation.oracle.compare(this);
    simulation.oracle.require(
        state.configuration().offset() >= configurationOffset, "configuration offset decreased");
    configurationOffset = state.configuration().offset();
  }

  /**
   * Handles a batch of this node that was read back. If it was dropped as stale, its records are
   * sent again in order.
   */
  private void onReadBack(RecordBatch batch, List<DecisionEvent> events) {
    List<DecisionRecord> records = unconfirmed.remove(batch.sequence());
    boolean stale =
        !events.isEmpty()
            && events.get(events.size() - 1) instanceof DecisionEvent.BatchDropped dropped
            && dropped.reason() == DropReason.STALE;
    if (stale && records != null) {
      resend.addAll(records);
    }
  }

  /**
   * Discards the records that were sent or are to be sent, except queued settlements and outcomes.
   */
  final void discardAllButReports() {
    unconfirmed.clear();
    resend.clear();
    queued.removeIf(
        record ->
            !(record instanceof DecisionRecord.AttemptSettled
                || record instanceof DecisionRecord.OutcomeRecorded));
  }

  private void flush() {
    boolean mayBuildBatch = resend.isEmpty() || unconfirmed.isEmpty();
    if (inFlight == null && mayBuildBatch && isReady()) {
      buildBatch();
    }
    if (inFlight != null) {
      send(RecordCodec.encode(inFlight));
    }
  }

  private void buildBatch() {
    List<DecisionRecord> records = new ArrayList<>(resend);
    records.addAll(queued);
    resend.clear();
    queued.clear();
    if (!records.isEmpty()) {
      sequence++;
      inFlight = new RecordBatch(id, sequence, state.appliedOffset(), records);
      unconfirmed.put(sequence, inFlight.records());
    }
  }

  private void send(byte[] bytes) {
    int outcome = simulation.random.nextInt(20);
    // The batch does not reach the log.
    if (outcome == 0) {
      return;
    }
    simulation.log.append(bytes);
    // The batch is appended but the response is lost, so it is sent again.
    if (outcome == 1) {
      return;
    }
    // A duplicate may be appended later.
    if (outcome <= 3) {
      simulation.log.keepDuplicate(bytes);
    }
    inFlight = null;
  }
}
