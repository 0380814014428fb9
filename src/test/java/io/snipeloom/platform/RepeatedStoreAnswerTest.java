package io.snipeloom.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.snipeloom.forwarding.AsyncHttpClient;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.RecordPage;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.telemetry.LinkTraffic;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests a store that answers a call, and later once more, with the bytes of the same answer. */
@Timeout(120)
class RepeatedStoreAnswerTest {
  private static final String FAILED = "UNKNOWN";

  /** The most calls after which the client is back in step with the store. */
  private static final int RECOVERY_CALLS = 3;

  private static final long PAUSE_MILLIS = 20;

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** What a call does, with what its target names. */
  private enum Kind {
    APPEND {
      @Override
      void call(PlatformStore store, String[] target, Consumer<String> listener) {
        long at = Long.parseLong(target[2]);
        store.append(
            target[0], partition(target), at, List.of(record()), o -> listener.accept(o.name()));
      }
    },
    ADD {
      @Override
      void call(PlatformStore store, String[] target, Consumer<String> listener) {
        store.append(target[0], partition(target), record(), o -> listener.accept(o.name()));
      }
    },
    READ {
      @Override
      void call(PlatformStore store, String[] target, Consumer<String> listener) {
        long from = Long.parseLong(target[2]);
        store.read(
            target[0], partition(target), from, 0, (o, page) -> listener.accept(text(o, page)));
      }
    },
    LIST {
      @Override
      void call(PlatformStore store, String[] target, Consumer<String> listener) {
        String after = target.length > 2 ? target[2] : "";
        store.newest(
            target[0], partition(target), after, (o, page) -> listener.accept(text(o, page)));
      }
    };

    abstract void call(PlatformStore store, String[] target, Consumer<String> listener);

    private static int partition(String[] target) {
      return Integer.parseInt(target[1]);
    }
  }

  /** A call and its right answer. */
  private enum Call {
    APPEND_ACCEPTED(Kind.APPEND, "ledger 0 4", 200, "{\"offset\":4,\"end\":5}", "DONE"),
    APPEND_CONFLICT(Kind.APPEND, "ledger 0 5", 412, "{\"end\":7}", "CONFLICT"),
    APPEND_REFUSED(Kind.APPEND, "ledger 0 5", 503, "", "REFUSED"),
    APPEND_THROTTLED(Kind.APPEND, "ledger 0 5", 429, "", "REFUSED"),
    APPEND_FOLLOWING(Kind.APPEND, "ledger 0 5", 200, "{\"offset\":5,\"end\":6}", "DONE"),

    APPEND_BEHIND(Kind.APPEND, "ledger 0 7", 200, "{\"offset\":7,\"end\":8}", "DONE"),
    OTHER_PARTITION_REFUSED(Kind.APPEND, "ledger 1 4", 503, "", "REFUSED"),
    OTHER_PARTITION_CONFLICT(Kind.APPEND, "ledger 1 4", 412, "{\"end\":9}", "CONFLICT"),
    ADDED(Kind.ADD, "origins 0", 200, "{\"offset\":4,\"end\":5}", "DONE"),
    ADD_REFUSED(Kind.ADD, "origins 0", 503, "", "REFUSED"),
    OTHER_ADD_REFUSED(Kind.ADD, "convictions 0", 503, "", "REFUSED"),
    LEDGER_READ_FROM_4(Kind.READ, "ledger 0 4", 200, page(5, "a"), "DONE 5 a"),
    READ_FROM_0(Kind.READ, "op 0 0", 200, page(2, "a", "b"), "DONE 2 a b"),
    READ_FROM_2(Kind.READ, "op 0 2", 200, page(3, "c"), "DONE 3 c"),
    READ_FROM_2_NOTHING(Kind.READ, "op 0 2", 200, page(2), "DONE 2"),
    READ_FROM_2_DOWN(Kind.READ, "op 0 2", 503, "", "REFUSED"),
    READ_FROM_2_EXPIRED(Kind.READ, "op 0 2", 410, "{\"first\":6}", "EXPIRED 6"),
    READ_PART_FROM_0(Kind.READ, "op 0 0", 200, page(6, "a", "b"), "DONE 6 a b"),
    READ_PART_FROM_2(Kind.READ, "op 0 2", 200, page(6, "c", "d"), "DONE 6 c d"),
    SERVERS_FROM_0(Kind.READ, "servers 0 0", 200, page(9, "i", "j"), "DONE 9 i j"),
    NO_TOPIC(Kind.LIST, "op 0 ", 404, "", "DONE 0"),
    LISTED_2(Kind.LIST, "op 0 ", 200, listing(2, false, "a", "b"), "DONE 2 a b"),
    LISTED_3(Kind.LIST, "op 0 ", 200, listing(3, false, "a", "c"), "DONE 3 a c"),
    LISTED_BEGUN(Kind.LIST, "op 0 ", 200, listing(2, true, "a"), "DONE 2 a .."),
    LISTED_ON(Kind.LIST, "op 0 a", 200, listing(2, false, "b"), "DONE 2 b"),
    SERVERS_LISTED(Kind.LIST, "servers 0 ", 200, listing(2, false, "i"), "DONE 2 i"),
    SERVERS_LISTED_LATER(Kind.LIST, "servers 0 ", 200, listing(2, false, "i", "j"), "DONE 2 i j");

    private final Kind kind;
    private final String target;
    private final int status;
    private final String body;
    private final String right;

    Call(Kind kind, String target, int status, String body, String right) {
      this.kind = kind;
      this.target = target;
      this.status = status;
      this.body = body;
      this.right = right;
    }

    String head() {
      return "HTTP/1.1 %d X\r\nStore-Era: 3\r\nContent-Length: %d\r\n\r\n"
          .formatted(status, body.length());
    }

    String answer() {
      return head() + body;
    }
  }

  /** Two calls, the second made once the first was answered. */
  private enum Pair {
    CONFLICT_AFTER_ACCEPTED(Call.APPEND_ACCEPTED, Call.APPEND_CONFLICT),
    REFUSED_AFTER_ACCEPTED(Call.APPEND_ACCEPTED, Call.APPEND_REFUSED),
    THROTTLED_AFTER_ACCEPTED(Call.APPEND_ACCEPTED, Call.APPEND_THROTTLED),
    ACCEPTED_AFTER_ACCEPTED(Call.APPEND_ACCEPTED, Call.APPEND_FOLLOWING),
    OTHER_PARTITION_REFUSED(Call.APPEND_ACCEPTED, Call.OTHER_PARTITION_REFUSED),
    OTHER_PARTITION_CONFLICT(Call.APPEND_ACCEPTED, Call.OTHER_PARTITION_CONFLICT),
    ACCEPTED_AFTER_CONFLICT(Call.APPEND_CONFLICT, Call.APPEND_BEHIND),
    ACCEPTED_AFTER_REFUSED(Call.APPEND_REFUSED, Call.APPEND_FOLLOWING),
    ADD_REFUSED(Call.ADDED, Call.ADD_REFUSED),
    OTHER_ADD_REFUSED(Call.ADDED, Call.OTHER_ADD_REFUSED),
    READ_AFTER_APPEND(Call.APPEND_ACCEPTED, Call.LEDGER_READ_FROM_4),
    APPEND_AFTER_READ(Call.LEDGER_READ_FROM_4, Call.APPEND_REFUSED),
    READ_AFTER_READ(Call.READ_FROM_0, Call.READ_FROM_2),
    READ_OF_NOTHING_AFTER_READ(Call.READ_FROM_0, Call.READ_FROM_2_NOTHING),
    READ_DOWN_AFTER_READ(Call.READ_FROM_0, Call.READ_FROM_2_DOWN),
    READ_EXPIRED_AFTER_READ(Call.READ_FROM_0, Call.READ_FROM_2_EXPIRED),
    REST_AFTER_BEGIN(Call.READ_PART_FROM_0, Call.READ_PART_FROM_2),
    READ_AFTER_OTHER_TOPIC(Call.SERVERS_FROM_0, Call.READ_FROM_2),
    LISTED_AFTER_NO_TOPIC(Call.NO_TOPIC, Call.LISTED_2),
    READ_AFTER_LISTING(Call.LISTED_2, Call.READ_FROM_2),
    LISTED_AGAIN(Call.LISTED_2, Call.LISTED_3),
    LISTED_AGAIN_WITHOUT_READ(Call.SERVERS_LISTED, Call.SERVERS_LISTED_LATER),
    LISTED_ON(Call.LISTED_BEGUN, Call.LISTED_ON),
    LISTED_FROM_THE_START_AGAIN(Call.LISTED_ON, Call.LISTED_2),
    LISTED_AFTER_OTHER_TOPIC(Call.SERVERS_LISTED, Call.LISTED_2);

    private final Call first;
    private final Call second;

    Pair(Call first, Call second) {
      this.first = first;
      this.second = second;
    }
  }

  /** When the copy of the first answer comes; the whole answer has been sent before. */
  private enum Moment {
    SAME_WRITE {
      @Override
      void afterAnswer(Socket first, String copy) throws IOException {
        write(first, copy);
      }
    },
    IDLE {
      @Override
      void afterAnswer(Socket first, String copy) throws IOException, InterruptedException {
        Thread.sleep(PAUSE_MILLIS);
        write(first, copy);
        Thread.sleep(PAUSE_MILLIS);
      }

      @Override
      boolean isAwaited() {
        return true;
      }
    },
    NEXT_REQUEST {
      @Override
      void atNext(Socket first, String copy) throws IOException, InterruptedException {
        write(first, copy);
        Thread.sleep(PAUSE_MILLIS);
      }
    },
    WITH_NEXT_ANSWER {
      @Override
      void atNext(Socket first, String copy) throws IOException {
        write(first, copy);
      }
    },
    HALVES_AROUND_REQUEST {
      @Override
      void afterAnswer(Socket first, String copy) throws IOException {
        write(first, copy.substring(0, copy.length() / 2));
      }

      @Override
      void atNext(Socket first, String copy) throws IOException, InterruptedException {
        write(first, copy.substring(copy.length() / 2));
        Thread.sleep(PAUSE_MILLIS);
      }
    },
    HALVES_AT_NEXT_REQUEST {
      @Override
      void atNext(Socket first, String copy) throws IOException, InterruptedException {
        write(first, copy.substring(0, copy.length() / 2));
        Thread.sleep(PAUSE_MILLIS);
        write(first, copy.substring(copy.length() / 2));
        Thread.sleep(PAUSE_MILLIS);
      }
    },
    BYTES_AT_NEXT_REQUEST {
      @Override
      void atNext(Socket first, String copy) throws IOException, InterruptedException {
        for (int i = 0; i < copy.length(); i++) {
          write(first, copy.substring(i, i + 1));
          Thread.sleep(1);
        }
      }
    },
    TWICE_AT_NEXT_REQUEST {
      @Override
      void atNext(Socket first, String copy) throws IOException, InterruptedException {
        write(first, copy + copy);
        Thread.sleep(PAUSE_MILLIS);
      }
    };

    void afterAnswer(Socket first, String copy) throws IOException, InterruptedException {}

    void atNext(Socket first, String copy) throws IOException, InterruptedException {}

    /** Returns whether the next call is made only after what comes after the answer. */
    boolean isAwaited() {
      return false;
    }
  }

  @AfterEach
  void stopLoops() {
    loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Guards against a copy of an answer that is taken for the answer to the next call. */
  @ParameterizedTest
  @EnumSource(Pair.class)
  void copyIsNotTakenForTheNextAnswer(Pair pair) throws Exception {
    List<String> wrong = new ArrayList<>();
    for (Moment moment : Moment.values()) {
      play(pair, moment, pair.first.answer()).ifWrong(moment.name(), wrong);
    }
    assertThat(wrong, is(empty()));
  }

  /** Guards against a copy that breaks off, of which the rest is read as a part of the next. */
  @ParameterizedTest
  @EnumSource(
      value = Pair.class,
      names = {
        "CONFLICT_AFTER_ACCEPTED",
        "REFUSED_AFTER_ACCEPTED",
        "ACCEPTED_AFTER_CONFLICT",
        "ADD_REFUSED",
        "READ_AFTER_APPEND",
        "READ_AFTER_READ",
        "REST_AFTER_BEGIN",
        "LISTED_AFTER_NO_TOPIC"
      })
  void brokenOffCopyIsNotTakenForTheNextAnswer(Pair pair) throws Exception {
    List<String> wrong = new ArrayList<>();
    String whole = pair.first.answer();
    for (Moment moment : List.of(Moment.SAME_WRITE, Moment.WITH_NEXT_ANSWER)) {
      for (int bytes = 1; bytes < whole.length(); bytes++) {
        play(pair, moment, whole.substring(0, bytes)).ifWrong(moment + " " + bytes, wrong);
      }
    }
    assertThat(wrong, is(empty()));
  }

  /** What came of a play. */
  private record Outcome(Pair pair, String first, String second, List<String> later) {

    void ifWrong(String play, List<String> wrong) {
      boolean right =
          first.equals(pair.first.right)
              && (second.equals(pair.second.right) || second.startsWith(FAILED))
              && later.contains(pair.second.right)
              && later.stream().allMatch(o -> o.equals(pair.second.right) || o.startsWith(FAILED));
      if (!right) {
        wrong.add("%s: %s, %s, %s".formatted(play, first, second, later));
      }
    }
  }

  private Outcome play(Pair pair, Moment moment, String copy) throws Exception {
    AtomicInteger requests = new AtomicInteger();
    AtomicReference<Socket> firstSocket = new AtomicReference<>();
    CompletableFuture<Void> copied = new CompletableFuture<>();
    FakeReplica.Script script =
        (request, socket) -> {
          if (requests.incrementAndGet() == 1) {
            firstSocket.set(socket);
            if (moment == Moment.SAME_WRITE || moment == Moment.HALVES_AROUND_REQUEST) {
              int bytes = moment == Moment.SAME_WRITE ? copy.length() : copy.length() / 2;
              FakeReplica.write(socket, pair.first.answer() + copy.substring(0, bytes));
            } else {
              FakeReplica.write(socket, pair.first.answer());
              moment.afterAnswer(socket, copy);
            }
            copied.complete(null);
            return true;
          }
          if (requests.get() == 2) {
            moment.atNext(firstSocket.get(), copy);
          }
          FakeReplica.write(socket, pair.second.answer());
          return true;
        };
    try (FakeReplica server = FakeReplica.start(script)) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
      PlatformStore store =
          new PlatformStore(
              new AsyncHttpClient(
                  loops.next(),
                  address,
                  new LinkTraffic().meter(LinkTraffic.Purpose.STORE),
                  () -> {}),
              foreign -> {});
      final String first = call(store, pair.first);
      if (moment.isAwaited()) {
        copied.get(10, TimeUnit.SECONDS);
      }
      final String second = call(store, pair.second);
      List<String> later = new ArrayList<>();
      for (int i = 0; i < RECOVERY_CALLS; i++) {
        later.add(call(store, pair.second));
      }
      return new Outcome(pair, first, second, later);
    }
  }

  private String call(PlatformStore store, Call call) throws Exception {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    loops.next().execute(() -> call.kind.call(store, call.target.split(" "), outcome::complete));
    String result = outcome.get(10, TimeUnit.SECONDS);
    // The connection is kept for the next call in the turn after the one of the answer.
    loops.next().submit(() -> {}).sync();
    loops.next().submit(() -> {}).sync();
    return result;
  }

  private static void write(Socket socket, String text) throws IOException {
    if (!socket.isClosed()) {
      try {
        FakeReplica.write(socket, text);
      } catch (IOException e) {
        // The client has closed the connection.
        return;
      }
    }
  }

  private static KeyedRecord record() {
    return new KeyedRecord("key", new byte[] {1});
  }

  private static String text(StoreOutcome outcome, RecordPage page) {
    if (page == null) {
      return outcome.name();
    }
    String keys =
        page.records().stream().map(record -> " " + record.key()).collect(Collectors.joining());
    return "%s %d%s%s".formatted(outcome, page.end(), keys, page.hasMore() ? " .." : "");
  }

  private static String page(long end, String... keys) {
    ByteBuffer bytes = ByteBuffer.allocate(16 + keys.length * 7);
    bytes.putLong(end).putLong(0);
    for (String key : keys) {
      bytes.putInt(3).put((byte) 1).put(key.getBytes(StandardCharsets.UTF_8)).put((byte) 7);
    }
    return new String(bytes.array(), StandardCharsets.ISO_8859_1);
  }

  private static String listing(long end, boolean hasMore, String... keys) {
    String value = Base64.getEncoder().encodeToString(new byte[] {7});
    String items =
        IntStream.range(0, keys.length)
            .mapToObj(i -> "{\"key\":\"%s\",\"value\":\"%s\"}".formatted(keys[i], value))
            .collect(Collectors.joining(","));
    return "{\"items\":[%s],\"hasMore\":%s,\"end\":%d}".formatted(items, hasMore, end);
  }
}
