package io.snipeloom.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The deterministic answer of the engine stand-in to a prompt. Because it depends only on the
 * prompt, a client can check that an answer is complete and belongs to its prompt.
 *
 * <p>Token {@code i} consists of a word of the prompt and a checksum over the prompt and {@code i}.
 * Immutable.
 */
public final class AnswerText {
  private static final int CHECKSUM_MASK = 0xffff;

  private final List<String> words;
  private final long checksum;

  private AnswerText(List<String> words, long checksum) {
    this.words = words;
    this.checksum = checksum;
  }

  /**
   * Returns the answer to a prompt.
   *
   * @param prompt the contents of all messages, separated by line feeds
   */
  public static AnswerText of(String prompt) {
    CRC32 crc = new CRC32();
    crc.update(prompt.getBytes(StandardCharsets.UTF_8));
    List<String> words = words(prompt);
    return new AnswerText(words.isEmpty() ? List.of("empty") : words, crc.getValue());
  }

  /** Returns the words of a prompt; each word counts as one token. */
  static List<String> words(String prompt) {
    return Arrays.stream(prompt.split("\\s+", -1)).filter(word -> !word.isEmpty()).toList();
  }

  /**
   * Returns the text of one token.
   *
   * @param index the index of the token, starting at 0
   * @return the text, preceded by a space unless the index is 0
   */
  public String token(int index) {
    long mixed = (checksum + index) * 0x9e3779b97f4a7c15L;
    String word = words.get(index % words.size());
    String suffix = Long.toHexString((mixed >>> 32) & CHECKSUM_MASK);
    return (index == 0 ? "" : " ") + word + "-" + suffix;
  }

  /**
   * Returns the concatenated text of the first tokens.
   *
   * @param count the number of tokens to include
   */
  public String text(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(token(i));
    }
    return text.toString();
  }
}
