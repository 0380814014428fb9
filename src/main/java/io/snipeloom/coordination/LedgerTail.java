package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.DecisionCounter;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.RecordBatch;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps the most recent bill lines that this replica has read from the log.
 *
 * <p>Thread-safe; guarded by its own monitor. Line numbers derive from the counter in the decision
 * state, so that they are consecutive and equal on all replicas. A replica that started from a
 * snapshot lacks the lines before the snapshot.
 */
public final class LedgerTail implements LedgerReader {
  private static final int MAX_LINES = 100_000;

  private final LogReplica replica;
  private final TreeMap<Long, BillLine> lines = new TreeMap<>();

  private LedgerTail(LogReplica replica) {
    this.replica = replica;
  }

  /**
   * Returns a ledger tail that follows a replica.
   *
   * @param replica the replica, which must not be started yet
   */
  public static LedgerTail following(LogReplica replica) {
    LedgerTail tail = new LedgerTail(replica);
    replica.addBatchListener(tail::onBatch);
    return tail;
  }

  @Override
  public synchronized List<BillLine> lines(long from, int limit) {
    return lines.tailMap(from, true).values().stream().limit(limit).toList();
  }

  private synchronized void onBatch(RecordBatch batch, long offset, List<DecisionEvent> events) {
    Map<AttemptId, DecisionRecord.AttemptSettled> settled = new HashMap<>();
    for (DecisionRecord record : batch.records()) {
      if (record instanceof DecisionRecord.AttemptSettled settlement) {
        settled.put(settlement.attempt(), settlement);
      }
    }
    List<DecisionRecord.AttemptSettled> billed = new ArrayList<>();
    for (DecisionEvent event : events) {
      if (event instanceof DecisionEvent.SettlementApplied applied && applied.billed()) {
        billed.add(settled.get(applied.attempt()));
      }
    }
    long number =
        replica.read(state -> state.count(DecisionCounter.REQUESTS_BILLED)) - billed.size();
    for (DecisionRecord.AttemptSettled settlement : billed) {
      lines.put(number, line(number, offset, settlement));
      number++;
    }
    while (lines.size() > MAX_LINES) {
      lines.pollFirstEntry();
    }
  }

  private static BillLine line(long number, long offset, DecisionRecord.AttemptSettled settlement) {
    return new BillLine(
        number,
        offset,
        settlement.key(),
        settlement.budget(),
        settlement.requestClass(),
        settlement.consumedTokens(),
        settlement.issuedAtMillis());
  }
}
