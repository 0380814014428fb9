package io.snipeloom.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.snipeloom.forwarding.AsyncHttpClient.Verdict;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.RecordPage;
import java.util.Collections;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which answers of the store count as those to a call, without a network. */
class StoreAnswerChecksTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Guards against an accepted append whose answer comes again for the next one. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "5; 1; 5; {'offset':5,'end':6}; ANSWER",
        "5; 2; 5; {'offset':5,'end':7}; ANSWER",
        "5; 1; 5; {'offset':4,'end':5}; FOREIGN",
        "5; 1; 5; {'offset':5,'end':7}; FOREIGN",
        "5; 1; 5; {'end':6}; FOREIGN",
        "5; 1; 5; {'offset':5}; FOREIGN",
        "5; 1; 5; {}; FOREIGN",
        "5; 1; 5; []; FOREIGN",
        "-1; 1; 5; {'offset':5,'end':6}; ANSWER",
        "-1; 1; 5; {'offset':9,'end':10}; ANSWER",
        "-1; 1; 5; {'offset':4,'end':5}; FOREIGN",
        "-1; 1; 5; {'offset':4,'end':6}; FOREIGN",
        "-1; 1; 0; {}; FOREIGN",
      })
  void acceptanceStatesWhereTheRecordsAre(
      long at, int records, long knownEnd, String body, Verdict verdict) throws Exception {
    assertThat(check(at, records, knownEnd).judgeAccepted(json(body)), is(verdict));
  }

  /** Guards against a conflict at an earlier offset that comes again. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "5; 5; {'end':6}; ANSWER",
        "5; 5; {'end':5}; FOREIGN",
        "5; 5; {'end':4}; FOREIGN",
        "5; 5; {'offset':5,'end':6}; FOREIGN",
        "5; 5; {}; FOREIGN",
        "-1; 5; {'end':6}; FOREIGN",
      })
  void conflictStatesAnotherEnd(long at, long knownEnd, String body, Verdict verdict)
      throws Exception {
    assertThat(check(at, 1, knownEnd).judgeConflict(json(body)), is(verdict));
  }

  /** Guards against records that were read before and are taken for those that follow. */
  @ParameterizedTest
  @CsvSource({
    "2, 2, 1, 3, ANSWER",
    "2, 2, 0, 2, ANSWER",
    "2, 2, 1, 9, LAST_ANSWER",
    "2, 2, 2, 2, FOREIGN",
    "2, 2, 1, 2, FOREIGN",
    "2, 2, 0, 1, FOREIGN",
    "2, 5, 2, 4, FOREIGN",
    "0, 0, 0, 0, ANSWER",
    "0, 3, 0, 0, FOREIGN",
  })
  void pageGoesOnFromWhereItWasAsked(
      long from, long knownEnd, int records, long end, Verdict verdict) {
    RecordPage page =
        new RecordPage(Collections.nCopies(records, KeyedRecord.unreadable()), end, "");
    assertThat(new ReadCheck(from, knownEnd).judge(page), is(verdict));
  }

  private static AppendCheck check(long at, int records, long knownEnd) {
    OptionalLong expected = at < 0 ? OptionalLong.empty() : OptionalLong.of(at);
    return new AppendCheck(expected, records, knownEnd);
  }

  private static JsonNode json(String body) throws JsonProcessingException {
    return MAPPER.readTree(body.replace('\'', '"'));
  }
}
