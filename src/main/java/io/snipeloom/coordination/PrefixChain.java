package io.snipeloom.coordination;

import io.snipeloom.client.PrefixHashes;

/**
 * The hash chain of a prompt: hash {@code i} covers the first {@code i + 1} blocks, so that two
 * prompts share a hash exactly as far as they share a prefix.
 *
 * <p>Immutable and thread-safe.
 */
public final class PrefixChain {
  /** The size of a block in bytes of prompt text. */
  public static final int BLOCK_BYTES = PrefixHashes.BLOCK_BYTES;

  /** The most blocks that a chain covers. */
  public static final int MAX_BLOCKS = 64;

  private static final PrefixChain EMPTY = new PrefixChain(new long[0]);

  private final long[] hashes;

  private PrefixChain(long[] hashes) {
    this.hashes = hashes;
  }

  /**
   * Returns the chain of no prompt.
   *
   * @return the empty chain
   */
  public static PrefixChain empty() {
    return EMPTY;
  }

  /**
   * Returns the chain of a prompt; a last block that is not full is left out.
   *
   * @param prompt the prompt, such as the messages in the order of the request
   * @return the chain
   */
  public static PrefixChain of(byte[] prompt) {
    long[] hashes = PrefixHashes.of(prompt, MAX_BLOCKS);
    return hashes.length == 0 ? EMPTY : new PrefixChain(hashes);
  }

  /**
   * Returns the chain with these hashes.
   *
   * @param hashes the hashes, shortest prefix first
   * @return the chain
   */
  public static PrefixChain ofHashes(long... hashes) {
    return new PrefixChain(hashes.clone());
  }

  /**
   * Returns the number of blocks.
   *
   * @return the number of blocks
   */
  public int length() {
    return hashes.length;
  }

  /**
   * Returns the hash of a prefix.
   *
   * @param index the index of the last block covered, from 0
   * @return the hash
   */
  public long hash(int index) {
    return hashes[index];
  }
}
