package io.snipeloom.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.snipeloom.platform.CacheEvent;
import io.snipeloom.platform.CachePage;
import io.snipeloom.platform.EngineLoad;
import io.snipeloom.platform.PrefixHashes;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PrefixCacheTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final AtomicLong nanos = new AtomicLong();
  private final PrefixCache cache = new PrefixCache(2, nanos::get);

  @Test
  void secondUseOfPrefixIsCached() {
    assertThat(cache.use(List.of("a", "b")), is(0));
    assertThat(cache.use(List.of("a", "c")), is(PrefixHashes.BLOCK_TOKENS));
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
  void eventsAreLate() {
    cache.add(List.of("a"));
    assertThat(cache.page(0, 1_000, 0).events(), is(empty()));
    assertThat(cache.page(0, 1_000, 0).next(), is(0L));
    nanos.addAndGet(SECOND);
    assertThat(cache.page(0, 1_000, 0).next(), is(1L));
  }

  @Test
  void eventsHaveGapsThatTheirNumbersShow() {
    cache.add(List.of("a", "b"));
    CachePage page = cache.page(0, 0, 2);
    assertThat(page.events(), contains(new CacheEvent(0, CacheEvent.Kind.ADDED, "a")));
    assertThat(page.next(), is(2L));
  }

  @Test
  void restartChangesTheEpoch() {
    cache.add(List.of("a"));
    long before = cache.page(0, 0, 0).epoch();
    cache.clear();
    assertThat(cache.page(0, 0, 0).epoch(), is(before + 1));
    assertThat(cache.page(0, 0, 0).events(), is(empty()));
  }

  @Test
  void loadIsReportedAsItWasBeforeTheLag() {
    LaggedLoad load = new LaggedLoad(nanos::get, new EngineLoad(0, 0, 4));
    nanos.addAndGet(SECOND);
    load.update(new EngineLoad(1, 0, 4));
    assertThat(load.report(500).running(), is(0));
    assertThat(load.report(0).running(), is(1));
    nanos.addAndGet(SECOND);
    assertThat(load.report(500).running(), is(1));
  }

  @Test
  void hashesCoverAllBlocksBefore() {
    List<String> words = PrefixHashes.words("a ".repeat(40));
    assertThat(PrefixHashes.of(words).size(), is(2));
    List<String> other = PrefixHashes.words("b " + "a ".repeat(39));
    assertThat(PrefixHashes.of(other).get(1).equals(PrefixHashes.of(words).get(1)), is(false));
  }
}
