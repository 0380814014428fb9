package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.store.KeyedLog;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.RecordPage;
import io.snipeloom.store.StoreAnswer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class FleetMembersTest {
  private final Heartbeats log = new Heartbeats();
  private final Seen first = new Seen();
  private final Seen second = new Seen();
  private final FleetMembers one = member("one", 7_001, first);
  private final FleetMembers two = member("two", 7_002, second);

  @Test
  void listenerReceivesFleetSizeAndAddressesOfOthers() {
    one.beat("a");
    two.beat("b");
    one.beat("a");
    assertThat(first.size, is(2));
    assertThat(first.others, is(Map.of("two", at(7_002))));
    assertThat(second.others, is(Map.of("one", at(7_001))));
  }

  @Test
  void instanceWithoutNewHeartbeatsIsDropped() {
    two.beat("b");
    for (int i = 0; i < 6; i++) {
      one.beat("a");
    }
    assertThat(first.size, is(1));
    assertThat(first.others, is(Map.of()));
  }

  @Test
  void heartbeatWithoutAddressCountsAsMemberWithoutLoanAddress() {
    for (String strange : List.of("b 1", "b 1 host:7002", "b 1 127.0.0.1:", "")) {
      log.records.put("two", strange.getBytes(StandardCharsets.UTF_8));
      one.beat("a");
      assertThat(strange, first.size, is(2));
      assertThat(strange, first.others, is(Map.of()));
    }
  }

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private FleetMembers member(String name, int port, FleetMembers.Listener listener) {
    return new FleetMembers(log, name, at(port), listener);
  }

  private static final class Seen implements FleetMembers.Listener {
    int size;
    Map<String, InetSocketAddress> others = Map.of();

    @Override
    public void onMembers(int newSize, Map<String, InetSocketAddress> newOthers) {
      size = newSize;
      others = newOthers;
    }
  }

  /** The newest record of each key, in memory. */
  private static final class Heartbeats implements KeyedLog {
    final Map<String, byte[]> records = new LinkedHashMap<>();

    @Override
    public void newest(
        String topic, int partition, String afterKey, BiConsumer<StoreAnswer, RecordPage> taker) {
      List<KeyedRecord> page = new ArrayList<>();
      records.forEach((key, value) -> page.add(new KeyedRecord(key, value)));
      taker.accept(StoreAnswer.DONE, new RecordPage(page, records.size(), ""));
    }

    @Override
    public void read(
        String topic,
        int partition,
        long from,
        long waitMillis,
        BiConsumer<StoreAnswer, RecordPage> listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void append(
        String topic,
        int partition,
        long at,
        List<KeyedRecord> added,
        Consumer<StoreAnswer> listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void append(
        String topic, int partition, KeyedRecord record, Consumer<StoreAnswer> listener) {
      records.put(record.key(), record.value());
      listener.accept(StoreAnswer.DONE);
    }
  }
}
