package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RepeatedCallTest {
  private final RepeatedCall call = new RepeatedCall();

  /** Guards against a dead connection that counts as a peer that is away. */
  @Test
  void callHasNotFailedWhileTheSecondTryIsOpen() {
    assertThat(call.onOverdue(), is(true));
    assertThat(call.onFailed(true), is(false));
    assertThat(call.onResponse(), is(true));
  }

  @Test
  void callHasFailedOnceBothTriesHave() {
    call.onOverdue();
    assertThat(call.onFailed(true), is(false));
    assertThat(call.onFailed(false), is(true));
    assertThat(call.isSent(), is(true));
  }

  @Test
  void callThatFailsBeforeItIsOverdueIsNotMadeAgain() {
    assertThat(call.onFailed(false), is(true));
    assertThat(call.onOverdue(), is(false));
    assertThat(call.isSent(), is(false));
  }

  @Test
  void callIsMadeAgainOnlyOnce() {
    assertThat(call.onOverdue(), is(true));
    assertThat(call.onOverdue(), is(false));
  }

  @Test
  void onlyTheFirstResponseCounts() {
    call.onOverdue();
    assertThat(call.onResponse(), is(true));
    assertThat(call.onResponse(), is(false));
    assertThat(call.onFailed(true), is(false));
  }
}
