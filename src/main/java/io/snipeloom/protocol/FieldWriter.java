package io.snipeloom.protocol;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.RequestKey;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one message. Not thread-safe. */
final class FieldWriter {
  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final MessagePack.PackerConfig CONFIG =
      new MessagePack.PackerConfig().withBufferSize(INITIAL_BUFFER_BYTES);

  private final MessageBufferPacker packer = CONFIG.newBufferPacker();

  FieldWriter writeStart(int type, int fieldCount) {
    return write(
        () -> {
          packer.packArrayHeader(fieldCount + 1);
          packer.packInt(type);
        });
  }

  FieldWriter writeLong(long value) {
    return write(() -> packer.packLong(value));
  }

  FieldWriter writeBoolean(boolean value) {
    return write(() -> packer.packBoolean(value));
  }

  FieldWriter writeString(String value) {
    return write(() -> packer.packString(value));
  }

  FieldWriter writeEnum(Enum<?> value) {
    return value == null ? write(packer::packNil) : writeString(value.name());
  }

  FieldWriter writeBytes(byte[] value) {
    return write(
        () -> {
          packer.packBinaryHeader(value.length);
          packer.writePayload(value);
        });
  }

  FieldWriter writeAttempt(AttemptId attempt) {
    return writeString(attempt.holder().value()).writeLong(attempt.sequence());
  }

  /** Writes an attempt or null, which is encoded as nil and 0 to keep the number of fields. */
  FieldWriter writeOptionalAttempt(AttemptId attempt) {
    return attempt == null ? write(packer::packNil).writeLong(0) : writeAttempt(attempt);
  }

  FieldWriter writeKey(RequestKey key) {
    return writeString(key.customer().value()).writeString(key.token());
  }

  FieldWriter writeHeaders(List<Header> headers) {
    write(() -> packer.packArrayHeader(headers.size()));
    for (Header header : headers) {
      writeString(header.name()).writeString(header.value());
    }
    return this;
  }

  byte[] toByteArray() {
    return packer.toByteArray();
  }

  private FieldWriter write(WriteOperation operation) {
    try {
      operation.write();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A write to the buffer, which can throw an {@link IOException}. */
  private interface WriteOperation {
    void write() throws IOException;
  }
}
