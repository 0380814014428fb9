package io.snipeloom.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.forwarding.AsyncHttpClient;
import io.snipeloom.resumption.DeclaredOrigin;
import io.snipeloom.resumption.OriginStore;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.store.KeyedOrigins;
import io.snipeloom.telemetry.LinkTraffic;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests declarations of several incarnations in one store. */
@Timeout(30)
class KeyedOriginsTest {
  private static final String TOPIC = "versions";
  private static final StreamOrigin FIRST = new StreamOrigin("llm", new SoftwareVersion("v1"));
  private static final StreamOrigin SECOND = new StreamOrigin("llm", new SoftwareVersion("v2"));

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private FakeStore store;

  @BeforeEach
  void startStore() throws IOException {
    store = FakeStore.start();
  }

  @AfterEach
  void stopStore() {
    store.stop();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  /** Guards against a declaration that hides the one of another incarnation. */
  @Test
  void eachIncarnationHasItsOwnDeclarations() throws Exception {
    KeyedOrigins one = origins("edge-1-1");
    KeyedOrigins two = origins("edge-1-2");
    declare(one, FIRST);
    declare(one, FIRST);
    declare(two, FIRST);
    declare(two, SECOND);
    assertThat(texts(list(two)), containsInAnyOrder("edge-1-1 v1", "edge-1-2 v1", "edge-1-2 v2"));
  }

  /** Guards against a removal that is listed as a declaration which cannot be read. */
  @Test
  void retiredDeclarationIsNoLongerListed() throws Exception {
    KeyedOrigins one = origins("edge-1-1");
    KeyedOrigins two = origins("edge-1-2");
    declare(one, FIRST);
    declare(two, FIRST);
    DeclaredOrigin retired =
        list(two).stream()
            .filter(declared -> declared.incarnation().equals("edge-1-1"))
            .findFirst()
            .orElseThrow();
    assertThat(done(listener -> two.retire(retired, listener)), is(true));
    assertThat(texts(list(two)), contains("edge-1-2 v1"));
  }

  /** Guards against declarations of earlier software that an upgraded instance cannot read. */
  @Test
  void declarationOfTheOlderEncodingIsOfAnUnknownIncarnation() throws Exception {
    byte[] key = "k".getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream record = new ByteArrayOutputStream();
    record.write(key.length);
    record.writeBytes(key);
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(1).packString("llm").packString("v1").packString("once");
      record.writeBytes(packer.toByteArray());
    }
    store.putBytes("keyed." + TOPIC, record.toByteArray());
    assertThat(texts(list(origins("edge-1-1"))), contains(" v1"));
  }

  /** Guards against a declaration from before the store came back that looks like a later one. */
  @Test
  void declarationTellsTheEraOfTheStore() throws Exception {
    KeyedOrigins one = origins("edge-1-1");
    assertThat(list(one), is(empty()));
    final long before = one.era();
    declare(one, FIRST);
    store.copy();
    store.revert();
    KeyedOrigins two = origins("edge-1-2");
    assertThat(list(two).get(0).era(), is(before));
    declare(two, FIRST);
    List<Long> eras = list(two).stream().map(DeclaredOrigin::era).toList();
    assertThat(eras, containsInAnyOrder(before, before + 1));
  }

  private KeyedOrigins origins(String incarnation) {
    PlatformStore log =
        new PlatformStore(
            new AsyncHttpClient(
                group.next(),
                store.address(),
                new LinkTraffic().meter(LinkTraffic.Purpose.STORE),
                () -> {}),
            foreign -> {});
    return new KeyedOrigins(log, "streams", TOPIC, "edge-1", incarnation, malformed -> {});
  }

  private void declare(KeyedOrigins origins, StreamOrigin origin) throws Exception {
    assertThat(done(listener -> origins.declare(origin, listener)), is(true));
  }

  private boolean done(Consumer<Consumer<Boolean>> call) throws Exception {
    CompletableFuture<Boolean> stored = new CompletableFuture<>();
    group.next().execute(() -> call.accept(stored::complete));
    return stored.get(10, TimeUnit.SECONDS);
  }

  private List<DeclaredOrigin> list(KeyedOrigins origins) throws Exception {
    CompletableFuture<List<DeclaredOrigin>> listing = new CompletableFuture<>();
    OriginStore.ListingListener listener =
        new OriginStore.ListingListener() {
          @Override
          public void onListed(List<DeclaredOrigin> listed, boolean complete) {
            assertThat(complete, is(true));
            listing.complete(listed);
          }

          @Override
          public void onFailed() {
            listing.completeExceptionally(new IOException("the listing failed"));
          }
        };
    group.next().execute(() -> origins.listDeclared(listener));
    return listing.get(10, TimeUnit.SECONDS);
  }

  private static List<String> texts(List<DeclaredOrigin> listed) {
    return listed.stream()
        .map(one -> one.incarnation() + " " + one.origin().version().value())
        .toList();
  }
}
