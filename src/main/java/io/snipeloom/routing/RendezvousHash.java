package io.snipeloom.routing;

/** The hash functions behind every choice that all instances must make alike. */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns a hash of a text that does not depend on the process.
   *
   * @param text the text
   * @return the hash
   */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the weight of a pair; whoever has the largest weights is chosen.
   *
   * @param left the hash of one part
   * @param right the hash of the other part
   * @return the weight
   */
  public static long weight(long left, long right) {
    return mix(left ^ Long.rotateLeft(right, 32));
  }

  /**
   * Spreads the bits of a number.
   *
   * @param value the number
   * @return the mixed number
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /**
   * Returns the weight of a member for a key; the members with the largest weights hold the key.
   *
   * @param member the text form of the member
   * @param key the text form of the key
   * @return the weight
   */
  public static long weightOf(String member, String key) {
    return weight(hash(member), hash(key));
  }
}
