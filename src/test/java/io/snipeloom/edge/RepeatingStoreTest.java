package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import io.snipeloom.transport.RepeatingProxy;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests instances on a store that sends each answer twice, the second time late. */
@Timeout(60)
class RepeatingStoreTest {
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
  private static final long INPUT_TOKENS = 1_000;
  private static final long TOTAL = 40_000;
  private static final int ROUNDS = 40;

  /**
   * Guards against tokens that are spent twice, and configurations and replicas that are missed.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 10, 60})
  void totalsHoldAndChangesAreSeen(long delayMillis) throws Exception {
    FakeStore store = FakeStore.start();
    try (RepeatingProxy proxy = new RepeatingProxy(store.address(), delayMillis);
        FakeReplica replica =
            FakeReplica.start(
                (request, socket) -> {
                  FakeReplica.write(
                      socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
                  return true;
                });
        EdgeFixture first = new EdgeFixture("edge-1", store, proxy.address());
        EdgeFixture second = new EdgeFixture("edge-2", store, proxy.address())) {
      first.register("e-1", "llm", replica, "ready");
      first.configure(1, TOTAL);
      first.awaitReady();
      second.awaitReady();
      proxy.repeat();
      int served = 0;
      for (int i = 0; i < ROUNDS; i++) {
        for (EdgeFixture instance : List.of(first, second)) {
          String answer = instance.send("/draft/1", "a" + i, PROMPT_HEADERS);
          served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
        }
      }
      assertThat("tokens used", served * INPUT_TOKENS, lessThanOrEqualTo(TOTAL));
      assertThat("served", served, greaterThan(0));
      first.register("i-1", "app", replica, "ready");
      first.configure(2, TOTAL);
      for (EdgeFixture instance : List.of(first, second)) {
        instance.awaitLog("event=configuration version=2 applied=true");
        instance.awaitLog("event=replica replica=i-1 ");
        assertThat(instance.send("/status/1", "s", ""), startsWith("HTTP/1.1 200"));
      }
    }
  }
}
