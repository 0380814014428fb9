package io.snipeloom.coordination;

import io.snipeloom.client.PrefixHashes;

/**
 * The hash chain of a prompt. Hash {@code i} covers the first {@code i + 1} blocks, so that the
 * chains of two prompts agree exactly as far as the prompts have the same leading blocks.
 *
 * <p>Immutable and thread-safe.
 */
public final class PrefixChain {
  /** The size of a block, in bytes of prompt text. */
  public static final int BLOCK_BYTES = PrefixHashes.BLOCK_BYTES;

  /** The maximum number of blocks that a chain covers. */
  public static final int MAX_BLOCKS = 64;

  private static final PrefixChain EMPTY = new PrefixChain(new long[0]);

  private final long[] hashes;

  private PrefixChain(long[] hashes) {
    this.hashes = hashes;
  }

  /** Returns the chain of a request without a prompt. */
  public static PrefixChain empty() {
    return EMPTY;
  }

  /**
   * Returns the chain of a prompt. An incomplete last block is not covered.
   *
   * @param prompt the bytes of the prompt, for example the messages in the order of the request
   */
  public static PrefixChain of(byte[] prompt) {
    long[] hashes = PrefixHashes.of(prompt, MAX_BLOCKS);
    return hashes.length == 0 ? EMPTY : new PrefixChain(hashes);
  }

  /**
   * Returns a chain that consists of these hashes.
   *
   * @param hashes the hashes, that of the shortest prefix first
   */
  public static PrefixChain ofHashes(long... hashes) {
    return new PrefixChain(hashes.clone());
  }

  /** Returns the number of blocks. */
  public int length() {
    return hashes.length;
  }

  /**
   * Returns the hash of one prefix of the prompt.
   *
   * @param index the index of the last block that the hash covers, from 0
   */
  public long hash(int index) {
    return hashes[index];
  }
}
