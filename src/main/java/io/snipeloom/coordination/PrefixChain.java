package io.snipeloom.coordination;

/**
 * The hash chain of a prompt: hash {@code i} covers the first {@code i + 1} blocks, so that two
 * prompts share a hash exactly as far as they share a prefix.
 *
 * <p>Immutable and thread-safe.
 */
public final class PrefixChain {
  /** The size of a block in bytes of prompt text. */
  public static final int BLOCK_BYTES = 256;

  /** The most blocks that a chain covers. */
  public static final int MAX_BLOCKS = 64;

  private static final PrefixChain EMPTY = new PrefixChain(new long[0]);
  private static final long SEED = 0x9e3779b97f4a7c15L;
  private static final long MULTIPLIER = 0x100000001b3L;

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
    int blocks = Math.min(prompt.length / BLOCK_BYTES, MAX_BLOCKS);
    long[] hashes = new long[blocks];
    long hash = SEED;
    for (int i = 0; i < blocks; i++) {
      hash = mixed(hash, prompt, i * BLOCK_BYTES);
      hashes[i] = hash;
    }
    return blocks == 0 ? EMPTY : new PrefixChain(hashes);
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

  private static long mixed(long seed, byte[] prompt, int from) {
    long hash = seed;
    for (int i = from; i < from + BLOCK_BYTES; i++) {
      hash = (hash ^ prompt[i]) * MULTIPLIER;
    }
    return RendezvousHash.mix(hash);
  }
}
