package io.snipeloom.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.snipeloom.client.CacheEvent;
import io.snipeloom.client.CachePage;
import io.snipeloom.client.EngineLoad;
import io.snipeloom.client.PrefixHashes;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PrefixCacheTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final AtomicLong nanos = new AtomicLong();
  private final PrefixCache cache = new PrefixCache(2, nanos::get);

  @Test
  void prefixIsCachedAfterFirstUse() {
    assertThat(cache.lookUpAndCache(List.of("a", "b")), is(0));
    assertThat(cache.lookUpAndCache(List.of("a", "c")), is(1));
  }

  @Test
  void leastRecentlyUsedBlocksAreEvicted() {
    cache.add(List.of("a", "b", "c"));
    assertThat(cache.hashes(), contains("b", "c"));
    CachePage page = cache.page(0, 0, 0);
    assertThat(page.events().get(3), is(new CacheEvent(3, CacheEvent.Kind.EVICTED, "a")));
    assertThat(page.next(), is(4L));
  }

  @Test
  void eventsBecomeVisibleAfterLag() {
    cache.add(List.of("a"));
    assertThat(cache.page(0, 1_000, 0).events(), is(empty()));
    assertThat(cache.page(0, 1_000, 0).next(), is(0L));
    nanos.addAndGet(SECOND);
    assertThat(cache.page(0, 1_000, 0).next(), is(1L));
  }

  @Test
  void omittedEventsLeaveGapsInSequenceNumbers() {
    cache.add(List.of("a", "b"));
    CachePage page = cache.page(0, 0, 2);
    assertThat(page.events(), contains(new CacheEvent(0, CacheEvent.Kind.ADDED, "a")));
    assertThat(page.next(), is(2L));
  }

  @Test
  void clearStartsNewEpochAndRemovesEvents() {
    cache.add(List.of("a"));
    long before = cache.page(0, 0, 0).epoch();
    cache.clear();
    assertThat(cache.page(0, 0, 0).epoch(), is(before + 1));
    assertThat(cache.page(0, 0, 0).events(), is(empty()));
  }

  @Test
  void loadIsReportedWithLag() {
    LaggedLoad load = new LaggedLoad(nanos::get, new EngineLoad(0, 0, 4, "s"));
    nanos.addAndGet(SECOND);
    load.update(new EngineLoad(1, 0, 4, "s"));
    assertThat(load.report(500).running(), is(0));
    assertThat(load.report(0).running(), is(1));
    nanos.addAndGet(SECOND);
    assertThat(load.report(500).running(), is(1));
  }

  @Test
  void prefixHashDependsOnAllPrecedingBlocks() {
    byte[] prompt = new byte[PrefixHashes.BLOCK_BYTES * 5 / 2];
    long[] hashes = PrefixHashes.of(prompt, 10);
    assertThat(hashes.length, is(2));
    prompt[0] = 1;
    assertThat(PrefixHashes.of(prompt, 10)[1], is(not(hashes[1])));
    assertThat(PrefixHashes.parse(PrefixHashes.toHexStrings(hashes)[0]), is(hashes[0]));
    assertThat(PrefixHashes.of(prompt, 1).length, is(1));
  }
}
