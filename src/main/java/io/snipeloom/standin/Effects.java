package io.snipeloom.standin;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/** Counts the effects of calls at a plain service, by idempotency key and by body. Thread-safe. */
final class Effects {
  private static final int MAX_ENTRIES = 1_000_000;

  private final Map<String, Long> byKey = new TreeMap<>();
  private final Map<String, Long> byBody = new TreeMap<>();

  private long total;

  /** Counts an effect and returns its sequence number, starting at 1. */
  synchronized long add(String key, byte[] body) {
    if (byKey.size() + byBody.size() >= MAX_ENTRIES) {
      throw SnipeloomException.of(ErrorCode.OVERLOADED, "too many distinct keys and bodies");
    }
    if (!key.isEmpty()) {
      byKey.merge(key, 1L, Long::sum);
    }
    if (body.length > 0) {
      byBody.merge(digest(body), 1L, Long::sum);
    }
    return ++total;
  }

  /** Returns a snapshot of all counts. */
  synchronized EffectReport report() {
    return new EffectReport(total, counts(byKey), counts(byBody));
  }

  /** Returns the digest that identifies a body in the counts. */
  static String digest(byte[] body) {
    CRC32 crc = new CRC32();
    crc.update(body);
    String text = new String(body, StandardCharsets.ISO_8859_1);
    return HexFormat.of().toHexDigits(crc.getValue()) + "-" + text.hashCode();
  }

  private static List<EffectCount> counts(Map<String, Long> map) {
    List<EffectCount> counts = new ArrayList<>();
    map.forEach((key, count) -> counts.add(new EffectCount(key, count)));
    return counts;
  }
}
