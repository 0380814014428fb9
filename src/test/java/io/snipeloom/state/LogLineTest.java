package io.snipeloom.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class LogLineTest {
  @Test
  void plainValuesAreNotQuoted() {
    assertThat(LogLine.of("link.lost").with("peer", 7).toString(), is("event=link.lost peer=7"));
  }

  @Test
  void specialCharactersAndEmptyValuesAreQuoted() {
    assertThat(line("a\"b"), is("event=e k=\"a\\\"b\""));
    assertThat(line("a\\b"), is("event=e k=\"a\\\\b\""));
    assertThat(line("a=b"), is("event=e k=\"a=b\""));
    assertThat(line(""), is("event=e k=\"\""));
  }

  @Test
  void lineFeedsAreEscapedSoThatTheyCannotForgeAnEvent() {
    assertThat(line("x\nevent=forged"), is("event=e k=\"x\\u" + "000aevent=forged\""));
  }

  private static String line(String value) {
    return LogLine.of("e").with("k", value).toString();
  }
}
