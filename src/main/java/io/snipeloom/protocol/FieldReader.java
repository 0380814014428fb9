package io.snipeloom.protocol;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one message. Allocates no memory for declared lengths that exceed the frame.
 * Not thread-safe.
 */
final class FieldReader {
  private static final int MAX_HEADERS = 256;
  private static final int STRING_DECODER_BUFFER_CHARS = 64;
  private static final MessagePack.UnpackerConfig CONFIG =
      new MessagePack.UnpackerConfig().withStringDecoderBufferSize(STRING_DECODER_BUFFER_CHARS);

  private final int frameBytes;
  private final MessageUnpacker unpacker;

  FieldReader(byte[] frame) {
    this.frameBytes = frame.length;
    this.unpacker = CONFIG.newUnpacker(frame);
  }

  int readArrayLength() throws IOException {
    return unpacker.unpackArrayHeader();
  }

  long readLong() throws IOException {
    return unpacker.unpackLong();
  }

  int readInt() throws IOException {
    return unpacker.unpackInt();
  }

  boolean readBoolean() throws IOException {
    return unpacker.unpackBoolean();
  }

  String readString() throws IOException {
    return unpacker.unpackString();
  }

  <E extends Enum<E>> E readEnum(Class<E> type) throws IOException {
    return Enum.valueOf(type, readString());
  }

  <E extends Enum<E>> E readOptionalEnum(Class<E> type) throws IOException {
    return unpacker.tryUnpackNil() ? null : readEnum(type);
  }

  byte[] readBytes() throws IOException {
    int length = unpacker.unpackBinaryHeader();
    if (length > frameBytes - unpacker.getTotalReadBytes()) {
      throw malformed("field extends past the end of the frame");
    }
    return unpacker.readPayload(length);
  }

  AttemptId readAttempt() throws IOException {
    Incarnation holder = Incarnation.of(readString());
    return AttemptId.of(holder, readLong());
  }

  /** Reads an attempt or null, which is encoded as nil followed by an unused number. */
  AttemptId readOptionalAttempt() throws IOException {
    if (!unpacker.tryUnpackNil()) {
      return readAttempt();
    }
    readLong();
    return null;
  }

  RequestKey readKey() throws IOException {
    CustomerId customer = CustomerId.of(readString());
    return RequestKey.of(customer, readString());
  }

  List<Header> readHeaders() throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_HEADERS) {
      throw malformed("too many headers");
    }
    List<Header> headers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = readString();
      headers.add(new Header(name, readString()));
    }
    return headers;
  }

  void requireEnd() throws IOException {
    if (unpacker.hasNext()) {
      throw malformed("trailing bytes after the message");
    }
  }

  static SnipeloomException malformed(String reason) {
    return SnipeloomException.of(ErrorCode.MALFORMED_FRAME, reason);
  }
}
