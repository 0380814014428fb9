package io.snipeloom.platform;

import io.snipeloom.forwarding.AsyncHttpClient.Verdict;
import io.snipeloom.store.RecordPage;

/**
 * What the answer to a read of a partition must state, so that it isn't a copy of an earlier one.
 *
 * @param from the offset of the first record that was asked for
 * @param knownEnd where the partition ended at the latest when the read was sent
 */
record ReadCheck(long from, long knownEnd) {

  /**
   * Returns what a page is to the read. A copy of one that does not go to the end of the partition
   * could not be told from the answer to the read that follows it.
   */
  Verdict judge(RecordPage page) {
    long following = from + page.records().size();
    if (page.end() < knownEnd || following > page.end()) {
      return Verdict.FOREIGN;
    }
    return following < page.end() ? Verdict.LAST_ANSWER : Verdict.ANSWER;
  }
}
