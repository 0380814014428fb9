package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * Checks that the bytes of a connection are responses by the grammar of RFC 9110 and RFC 9112.
 *
 * <p>It reads heads, chunk sizes and trailers strictly, and only framings that all readers
 * understand alike: one length, or chunks, or the end of the connection. Not thread-safe.
 */
final class ResponseGrammar {
  private static final String LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";

  /** The longest line; a peer that sends a longer one sends no response. */
  private static final int MAX_LINE_BYTES = 65_536;

  /** The most digits of a length, which fit into a number. */
  private static final int MAX_LENGTH_DIGITS = 18;

  /** The most digits of a chunk size, which fit into a positive 32-bit number. */
  private static final int MAX_CHUNK_DIGITS = 7;

  /** What comes next. */
  private enum Part {
    STATUS_LINE,
    FIELDS,
    BODY,
    BODY_TO_THE_CLOSE,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final StringBuilder line = new StringBuilder();
  private HttpMethod method = HttpMethod.GET;
  private Part part = Part.STATUS_LINE;
  private long remaining;
  private StatusLine status;
  private String length;
  private boolean chunked;
  private boolean mayFold;
  private long checked;
  private String problem;

  /** Sets the method of the request whose response comes next. */
  void expectResponseTo(HttpMethod requestMethod) {
    method = requestMethod;
  }

  /** Returns what is wrong with the bytes so far, empty if nothing. */
  Optional<String> problem() {
    return Optional.ofNullable(problem);
  }

  /** Returns how many bytes are as they should be. */
  long checkedBytes() {
    return checked;
  }

  /** Checks further bytes of the connection, which are not consumed, up to the first problem. */
  void check(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (problem == null && index < bytes.writerIndex()) {
      int passed = checkFrom(bytes, index);
      index += passed;
      checked += problem == null ? passed : 0;
    }
  }

  /** Checks a piece of a body or one byte of a line, and returns how many bytes that were. */
  private int checkFrom(ByteBuf bytes, int index) {
    int available = bytes.writerIndex() - index;
    if (part == Part.BODY_TO_THE_CLOSE) {
      return available;
    }
    if (part == Part.BODY || part == Part.CHUNK) {
      int piece = (int) Math.min(available, remaining);
      remaining -= piece;
      if (remaining == 0) {
        part = part == Part.BODY ? Part.STATUS_LINE : Part.CHUNK_END;
      }
      return piece;
    }
    checkLineByte((char) bytes.getUnsignedByte(index));
    return 1;
  }

  private void checkLineByte(char next) {
    int last = line.length() - 1;
    boolean afterReturn = last >= 0 && line.charAt(last) == '\r';
    if (next == '\n' && afterReturn) {
      line.setLength(last);
      String whole = line.toString();
      line.setLength(0);
      checkLine(whole);
    } else if (next == '\n' || afterReturn) {
      problem = "a line does not end as it should";
    } else if (line.length() >= MAX_LINE_BYTES) {
      problem = "a line is too long";
    } else {
      line.append(next);
    }
  }

  private void checkLine(String whole) {
    switch (part) {
      case STATUS_LINE -> checkStatusLine(whole);
      case FIELDS -> checkFieldLine(whole, true);
      case TRAILERS -> checkFieldLine(whole, false);
      case CHUNK_SIZE -> checkChunkSize(whole);
      case CHUNK_END -> checkChunkEnd(whole);
      default -> throw new IllegalStateException("no line is due in " + part);
    }
  }

  private void checkStatusLine(String whole) {
    Optional<StatusLine> parsed = StatusLine.parse(whole);
    if (parsed.isEmpty()) {
      problem = "the status line is malformed";
      return;
    }
    status = parsed.get();
    length = null;
    chunked = false;
    mayFold = false;
    part = Part.FIELDS;
  }

  private void checkFieldLine(String whole, boolean ofHead) {
    if (whole.isEmpty()) {
      endFields(ofHead);
      return;
    }
    boolean folded = mayFold && FieldLine.isFolded(whole);
    Optional<FieldLine> parsed = folded ? Optional.empty() : FieldLine.parse(whole);
    if (folded ? !FieldLine.isValue(whole) : parsed.isEmpty()) {
      problem = ofHead ? "a header line is malformed" : "a trailer line is malformed";
      return;
    }
    mayFold = true;
    if (ofHead) {
      parsed.ifPresent(this::checkFraming);
    }
  }

  private void checkFraming(FieldLine field) {
    if (field.is(LENGTH)) {
      if (length != null || !isLength(field.value())) {
        problem = "the length is malformed or stated twice";
      }
      length = field.value();
      mayFold = false;
    } else if (field.is(TRANSFER_ENCODING)) {
      if (chunked || !field.value().equalsIgnoreCase("chunked") || !status.mayBeChunked()) {
        problem = "the transfer encoding is not chunked alone";
      }
      chunked = true;
      mayFold = false;
    }
    if (chunked && length != null) {
      problem = "the head states a length and chunks";
    }
  }

  private static boolean isLength(String value) {
    return !value.isEmpty()
        && value.length() <= MAX_LENGTH_DIGITS
        && value.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private void endFields(boolean ofHead) {
    if (!ofHead || status.hasNoBody() || method.equals(HttpMethod.HEAD)) {
      part = Part.STATUS_LINE;
    } else if (chunked) {
      part = Part.CHUNK_SIZE;
    } else if (length != null) {
      remaining = Long.parseLong(length);
      part = remaining == 0 ? Part.STATUS_LINE : Part.BODY;
    } else {
      part = Part.BODY_TO_THE_CLOSE;
    }
  }

  private void checkChunkSize(String whole) {
    int digits = 0;
    while (digits < whole.length() && Character.digit(whole.charAt(digits), 16) >= 0) {
      digits++;
    }
    String rest = whole.substring(digits).strip();
    boolean isExtension = rest.isEmpty() || rest.charAt(0) == ';';
    if (digits == 0 || digits > MAX_CHUNK_DIGITS || !isExtension || !FieldLine.isValue(whole)) {
      problem = "a chunk size is malformed or too large";
      return;
    }
    remaining = Long.parseLong(whole.substring(0, digits), 16);
    mayFold = false;
    part = remaining == 0 ? Part.TRAILERS : Part.CHUNK;
  }

  private void checkChunkEnd(String whole) {
    if (!whole.isEmpty()) {
      problem = "a chunk is longer than its size";
    }
    part = Part.CHUNK_SIZE;
  }
}
