package io.snipeloom.state;

/** Hash functions for decisions on which all instances must agree without communicating. */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns a hash of a text that is the same in every process.
   *
   * @param text the text
   */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the weight of a pair; the candidates with the highest weights are chosen.
   *
   * @param left the hash of one element
   * @param right the hash of the other element
   */
  public static long weight(long left, long right) {
    return mix(left ^ Long.rotateLeft(right, 32));
  }

  /**
   * Mixes the bits of a number.
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
   * Returns the weight of a member for a key; the members with the highest weights own the key.
   *
   * @param member the text form of the member
   * @param key the text form of the key
   */
  public static long weightOf(String member, String key) {
    return weight(hash(member), hash(key));
  }
}
