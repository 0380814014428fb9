package io.snipeloom.client;

import java.util.Arrays;

/**
 * Computes the hashes under which model engines publish the prefixes of prompts.
 *
 * <p>A prompt is cut into blocks of {@link #BLOCK_BYTES}; the hash of a block covers all blocks
 * before it, so that two prompts share a hash exactly as far as they share a prefix. Stateless.
 */
public final class PrefixHashes {
  /** The size of a block in bytes of prompt text. */
  public static final int BLOCK_BYTES = 256;

  private static final long SEED = 0x9e3779b97f4a7c15L;
  private static final long MULTIPLIER = 0x100000001b3L;

  private PrefixHashes() {}

  /**
   * Returns the hashes of the prefixes of a prompt; a last block that is not full is left out.
   *
   * @param prompt the messages of the request as compact JSON in UTF-8
   * @param maxBlocks the most blocks covered
   * @return a hash for each block, shortest prefix first
   */
  public static long[] of(byte[] prompt, int maxBlocks) {
    long[] hashes = new long[Math.min(prompt.length / BLOCK_BYTES, maxBlocks)];
    long hash = SEED;
    for (int i = 0; i < hashes.length; i++) {
      hash = add(hash, prompt, i * BLOCK_BYTES);
      hashes[i] = hash;
    }
    return hashes;
  }

  /**
   * Returns the form of hashes in cache events.
   *
   * @param hashes the hashes
   * @return their hexadecimal digits
   */
  public static String[] toHexStrings(long[] hashes) {
    return Arrays.stream(hashes).mapToObj(Long::toHexString).toArray(String[]::new);
  }

  /**
   * Reads the form of a hash in cache events.
   *
   * @param text the hexadecimal digits
   * @return the hash
   * @throws NumberFormatException if the text has another form
   */
  public static long parse(String text) {
    return Long.parseUnsignedLong(text, 16);
  }

  private static long add(long start, byte[] prompt, int from) {
    long hash = start;
    for (int i = from; i < from + BLOCK_BYTES; i++) {
      hash = (hash ^ prompt[i]) * MULTIPLIER;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
