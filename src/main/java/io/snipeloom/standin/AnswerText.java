package io.snipeloom.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The text that the engine stand-in answers to a prompt, so that anyone can check that an answer is
 * whole and belongs to its prompt.
 *
 * <p>Token {@code i} is a word of the prompt and a checksum of prompt and {@code i}. Immutable.
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
   * @param prompt the contents of all messages, joined by line feeds
   * @return the answer
   */
  public static AnswerText of(String prompt) {
    CRC32 crc = new CRC32();
    crc.update(prompt.getBytes(StandardCharsets.UTF_8));
    List<String> words = words(prompt);
    return new AnswerText(words.isEmpty() ? List.of("empty") : words, crc.getValue());
  }

  /** Returns the words of a prompt, which stand for its tokens. */
  static List<String> words(String prompt) {
    return Arrays.stream(prompt.split("\\s+", -1)).filter(word -> !word.isEmpty()).toList();
  }

  /**
   * Returns one token.
   *
   * @param index the index, from 0
   * @return the text, with a space before it unless it is the first
   */
  public String token(int index) {
    long mixed = (checksum + index) * 0x9e3779b97f4a7c15L;
    String word = words.get(index % words.size());
    String suffix = Long.toHexString((mixed >>> 32) & CHECKSUM_MASK);
    return (index == 0 ? "" : " ") + word + "-" + suffix;
  }

  /**
   * Returns the first tokens as one text.
   *
   * @param count the number of tokens
   * @return the text
   */
  public String text(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(token(i));
    }
    return text.toString();
  }
}
