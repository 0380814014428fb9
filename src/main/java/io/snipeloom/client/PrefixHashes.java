package io.snipeloom.client;

import java.util.Arrays;

/**
 * Computes the hashes by which model engines identify the cached prefixes of prompts.
 *
 * <p>A prompt is divided into blocks of {@link #BLOCK_BYTES} bytes. The hash of a block also covers
 * all preceding blocks, so that two prompts have equal hashes for the blocks of their common
 * prefix, and different hashes, barring collisions, from the first block that differs. Stateless.
 */
public final class PrefixHashes {
  /** The size of a block in bytes of prompt text. */
  public static final int BLOCK_BYTES = 256;

  private static final long SEED = 0x9e3779b97f4a7c15L;
  private static final long MULTIPLIER = 0x100000001b3L;

  private PrefixHashes() {}

  /**
   * Returns the hashes of the prefixes of a prompt. An incomplete last block is ignored.
   *
   * @param prompt the messages of the request as compact JSON, encoded in UTF-8
   * @param maxBlocks the maximum number of blocks to hash
   * @return one hash for each block, in order of the blocks
   */
  public static long[] of(byte[] prompt, int maxBlocks) {
    long[] hashes = new long[Math.min(prompt.length / BLOCK_BYTES, maxBlocks)];
    long hash = SEED;
    for (int i = 0; i < hashes.length; i++) {
      hash = hashBlock(hash, prompt, i * BLOCK_BYTES);
      hashes[i] = hash;
    }
    return hashes;
  }

  /** Returns hashes in the form used in cache events: hexadecimal digits without leading zeros. */
  public static String[] toHexStrings(long[] hashes) {
    return Arrays.stream(hashes).mapToObj(Long::toHexString).toArray(String[]::new);
  }

  /**
   * Parses a hash from a cache event.
   *
   * @param text hexadecimal digits
   * @throws NumberFormatException if the text is not a hexadecimal number of at most 64 bits
   */
  public static long parse(String text) {
    return Long.parseUnsignedLong(text, 16);
  }

  private static long hashBlock(long previousHash, byte[] prompt, int start) {
    long hash = previousHash;
    for (int i = start; i < start + BLOCK_BYTES; i++) {
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
