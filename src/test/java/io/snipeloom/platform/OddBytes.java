package io.snipeloom.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** Values of records as another writer may leave them. */
public final class OddBytes {
  private static final int DEPTH = 100_000;
  private static final int DIGITS = 100_000;

  private OddBytes() {}

  /** Returns texts and bytes of no entry that is in use. */
  public static List<byte[]> all() {
    List<byte[]> values = new ArrayList<>();
    Stream.of(
            "[".repeat(DEPTH),
            "[".repeat(DEPTH) + "]".repeat(DEPTH),
            "{\"a\":".repeat(DEPTH),
            "9".repeat(DIGITS),
            "1e999999999",
            "\"",
            "null",
            "{}",
            "\u0000")
        .map(text -> text.getBytes(StandardCharsets.UTF_8))
        .forEach(values::add);
    values.add(new byte[] {(byte) 0xff, (byte) 0xfe});
    values.add(messagePackArrays());
    values.add(new byte[] {(byte) 0xdd, 0x7f, -1, -1, -1});
    values.add(new byte[] {(byte) 0xdb, 0x7f, -1, -1, -1, 'a'});
    return values;
  }

  /** Returns deeply nested arrays of MessagePack. */
  private static byte[] messagePackArrays() {
    byte[] nested = new byte[DEPTH];
    Arrays.fill(nested, (byte) 0x91);
    return nested;
  }
}
