package io.snipeloom.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes the hashes under which model engines publish the prefixes of prompts.
 *
 * <p>A prompt is cut into blocks of {@link #BLOCK_TOKENS} words; the hash of a block covers all
 * blocks before it (FNV-1a, 64 bits, in hex). An incomplete last block has no hash. Stateless.
 */
public final class PrefixHashes {
  /** The number of words in a block. */
  public static final int BLOCK_TOKENS = 16;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PrefixHashes() {}

  /**
   * Returns the words of a prompt, which stand for its tokens.
   *
   * @param prompt the contents of all messages, joined by line feeds
   * @return the words
   */
  public static List<String> words(String prompt) {
    List<String> words = new ArrayList<>();
    for (String word : prompt.split("\\s+", -1)) {
      if (!word.isEmpty()) {
        words.add(word);
      }
    }
    return words;
  }

  /**
   * Returns the hashes of the prefixes of a prompt.
   *
   * @param words the words of the prompt
   * @return a hash for each complete block, shortest prefix first
   */
  public static List<String> of(List<String> words) {
    List<String> hashes = new ArrayList<>();
    long hash = FNV_OFFSET;
    for (int i = 0; i < words.size(); i++) {
      hash = add(hash, words.get(i));
      if ((i + 1) % BLOCK_TOKENS == 0) {
        hashes.add(Long.toHexString(hash));
      }
    }
    return hashes;
  }

  private static long add(long start, String word) {
    long hash = start;
    for (byte b : word.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    return (hash ^ ' ') * FNV_PRIME;
  }
}
