package io.snipeloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.snipeloom.forwarding.AsyncHttpClient.Verdict;
import java.util.OptionalLong;

/**
 * What the answer to an append must state, so that it isn't a copy of an earlier one.
 *
 * @param at the offset at which the partition was to end; empty if any will do
 * @param records the number of records
 * @param knownEnd where the partition ended at the latest when the append was sent
 */
record AppendCheck(OptionalLong at, int records, long knownEnd) {
  private static final String OFFSET = "offset";
  private static final String END = "end";

  /** Returns what an answer is to the append that says that it was accepted. */
  Verdict judgeAccepted(JsonNode body) {
    long offset = body.path(OFFSET).asLong(-1);
    boolean expected = at.isPresent() ? offset == at.getAsLong() : offset >= knownEnd;
    boolean whole = body.path(END).asLong(-1) == offset + records;
    return expected && whole ? Verdict.ANSWER : Verdict.FOREIGN;
  }

  /** Returns what an answer is to the append that says that the partition ends elsewhere. */
  Verdict judgeConflict(JsonNode body) {
    long end = body.path(END).asLong(-1);
    boolean elsewhere = at.isPresent() && end != at.getAsLong() && end >= knownEnd;
    return elsewhere && body.path(OFFSET).isMissingNode() ? Verdict.ANSWER : Verdict.FOREIGN;
  }
}
