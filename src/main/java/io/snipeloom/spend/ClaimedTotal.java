package io.snipeloom.spend;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claimed total of a customer and the parts of it that changed lately.
 *
 * <p>A newer version of a part takes the place of the older one, and the total changes by the
 * difference. So the total is the same in whichever order parts are merged, and however often.
 * Immutable and thread-safe.
 *
 * @param tokens the tokens that all instances together have claimed and not returned
 * @param parts the parts by their IDs; tokens of others are in the total without a part
 * @param completeSinceMillis from when on a part that changed is among the parts if it is in the
 *     total, in Unix milliseconds; before that, earlier versions of this program changed the total
 */
record ClaimedTotal(long tokens, Map<Long, ClaimPart> parts, long completeSinceMillis) {
  /** No tokens are claimed. */
  static final ClaimedTotal NONE = new ClaimedTotal(0, Map.of(), Long.MIN_VALUE);

  /**
   * The age from which a part is no longer kept: its tokens stay in the total. No instance merges a
   * part that is half as old, so none counts it again.
   */
  private static final long KEPT_MILLIS = 2 * ClaimPart.MEMORY_MILLIS;

  /** Copies the parts. */
  ClaimedTotal {
    parts = Map.copyOf(parts);
  }

  /** Returns a total of which the newest versions of some parts are known. */
  static ClaimedTotal of(long tokens, List<ClaimPart> parts, long completeSinceMillis) {
    Map<Long, ClaimPart> byId = new HashMap<>();
    parts.forEach(part -> byId.put(part.id(), part));
    return new ClaimedTotal(tokens, byId, completeSinceMillis);
  }

  Optional<ClaimPart> part(long id) {
    return Optional.ofNullable(parts.get(id));
  }

  /** Returns the total with a part, which takes the place of its older version. */
  ClaimedTotal with(ClaimPart part) {
    Map<Long, ClaimPart> changed = new HashMap<>(parts);
    ClaimPart before = changed.put(part.id(), part);
    long added = part.tokens() - (before == null ? 0 : before.tokens());
    return new ClaimedTotal(tokens + added, changed, completeSinceMillis);
  }

  /** Returns the total with those of some parts that are recent and newer than the known ones. */
  ClaimedTotal merge(Collection<ClaimPart> others, long nowMillis) {
    ClaimedTotal merged = this;
    for (ClaimPart other : others) {
      if (other.isRecent(nowMillis) && merged.lacks(other)) {
        merged = merged.with(other);
      }
    }
    return merged;
  }

  private boolean lacks(ClaimPart other) {
    ClaimPart known = parts.get(other.id());
    return known == null
        ? other.changedMillis() > completeSinceMillis
        : other.sequence() > known.sequence();
  }

  /** Returns the total that an earlier version of this program has written, which kept no parts. */
  ClaimedTotal rewritten(long newTokens, long nowMillis) {
    return new ClaimedTotal(newTokens, parts, nowMillis);
  }

  /** Returns the parts that are kept in the ledger. */
  List<ClaimPart> keptParts(long nowMillis) {
    return parts.values().stream()
        .filter(part -> nowMillis - part.changedMillis() < KEPT_MILLIS)
        .toList();
  }

  /** Returns the parts that other instances are told. */
  List<ClaimPart> recentParts(long nowMillis) {
    return parts.values().stream().filter(part -> part.isRecent(nowMillis)).toList();
  }
}
