package io.snipeloom.state;

import static io.snipeloom.state.TestDecisionLog.OTHER;
import static io.snipeloom.state.TestDecisionLog.ROUTER;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.DecisionRecord.SnapshotChunk;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SnapshotAssemblerTest {
  private static final int KEYS = 12_000;

  private final TestDecisionLog log = TestDecisionLog.create().topUp("t1", 1_000_000);
  private final List<SnapshotChunk> chunks = snapshotOfSeveralChunks();

  private List<SnapshotChunk> snapshotOfSeveralChunks() {
    log.claim(ROUTER, 1_000_000);
    for (int i = 1; i <= KEYS; i++) {
      String key = "a-rather-long-idempotency-key-" + i;
      log.append(ROUTER, TestDecisionLog.settled(ROUTER, i, key, 1, true, true));
    }
    return SnapshotAssembler.split(log.state());
  }

  private static RecordBatch batch(Incarnation writer, DecisionRecord chunk) {
    return new RecordBatch(writer, 1, 0, List.of(chunk));
  }

  private Optional<DecisionState> offerAll(SnapshotAssembler assembler, List<SnapshotChunk> part) {
    Optional<DecisionState> restored = Optional.empty();
    for (SnapshotChunk chunk : part) {
      restored = restored.isPresent() ? restored : assembler.offer(batch(ROUTER, chunk));
    }
    return restored;
  }

  @Test
  void completeSnapshotRestoresTheSameState() {
    assertThat(chunks.size(), greaterThan(1));
    Optional<DecisionState> restored = offerAll(SnapshotAssembler.startingAt(5), chunks);
    assertThat(restored.orElseThrow().digest(), is(log.state().digest()));
  }

  @Test
  void snapshotWithoutFirstChunkIsIgnored() {
    SnapshotAssembler assembler = SnapshotAssembler.startingAt(5);
    assertThat(offerAll(assembler, chunks.subList(1, chunks.size())).isEmpty(), is(true));
    assertThat(offerAll(assembler, chunks).isPresent(), is(true));
  }

  @Test
  void duplicateChunksAndOtherWritersDoNotPreventAssembly() {
    SnapshotAssembler assembler = SnapshotAssembler.startingAt(5);
    List<SnapshotChunk> duplicated = new ArrayList<>();
    chunks.forEach(chunk -> duplicated.addAll(Collections.nCopies(2, chunk)));
    var unused = assembler.offer(batch(OTHER, chunks.get(0)));
    assertThat(offerAll(assembler, duplicated).isPresent(), is(true));
  }

  @Test
  void damagedSnapshotIsIgnored() {
    List<SnapshotChunk> damaged = new ArrayList<>(chunks);
    SnapshotChunk first = chunks.get(0);
    damaged.set(0, new SnapshotChunk(first.asOf(), 0, first.count(), new byte[] {1, 2, 3}));
    assertThat(offerAll(SnapshotAssembler.startingAt(5), damaged).isEmpty(), is(true));
  }

  @Test
  void stateTracksTheLatestCompleteSnapshot() {
    long asOf = log.state().appliedOffset();
    for (SnapshotChunk chunk : chunks) {
      assertThat(log.state().latestSnapshotOffset(), is(-1L));
      log.append(OTHER, chunk);
    }
    assertThat(log.state().latestSnapshotOffset(), is(asOf));
    assertThat(log.state().latestSnapshotStart(), is(asOf + 1));
  }
}
