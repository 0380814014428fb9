package io.snipeloom.spend;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The tokens that an instance claimed lately: those that a store may lack which came back from an
 * older copy of itself. Not thread-safe.
 */
final class RecentClaims {
  /** The age of the oldest copy from which the store comes back, with a margin. */
  private static final long WINDOW_NANOS = 60_000_000_000L;

  private final Deque<Claim> claims = new ArrayDeque<>();
  private long tokens;

  private record Claim(long tokens, long atNanos) {}

  /** Adds a claim and forgets those that are too old. */
  void add(long claimedTokens, long nowNanos) {
    claims.add(new Claim(claimedTokens, nowNanos));
    tokens += claimedTokens;
    expire(nowNanos);
  }

  /** Returns the tokens claimed lately. */
  long tokens(long nowNanos) {
    expire(nowNanos);
    return tokens;
  }

  private void expire(long nowNanos) {
    while (!claims.isEmpty() && nowNanos - claims.peek().atNanos() > WINDOW_NANOS) {
      tokens -= claims.poll().tokens();
    }
  }
}
