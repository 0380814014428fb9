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
  private static final int BUFFER_BYTES = 512;
  private static final MessagePack.PackerConfig CONFIG =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private final MessageBufferPacker packer = CONFIG.newBufferPacker();

  FieldWriter begin(int type, int fieldCount) {
    return run(
        () -> {
          packer.packArrayHeader(fieldCount + 1);
          packer.packInt(type);
        });
  }

  FieldWriter number(long value) {
    return run(() -> packer.packLong(value));
  }

  FieldWriter flag(boolean value) {
    return run(() -> packer.packBoolean(value));
  }

  FieldWriter text(String value) {
    return run(() -> packer.packString(value));
  }

  FieldWriter name(Enum<?> value) {
    return value == null ? run(packer::packNil) : text(value.name());
  }

  FieldWriter bytes(byte[] value) {
    return run(
        () -> {
          packer.packBinaryHeader(value.length);
          packer.writePayload(value);
        });
  }

  FieldWriter attempt(AttemptId attempt) {
    return text(attempt.holder().value()).number(attempt.sequence());
  }

  FieldWriter optionalAttempt(AttemptId attempt) {
    return attempt == null ? run(packer::packNil).number(0) : attempt(attempt);
  }

  FieldWriter key(RequestKey key) {
    return text(key.customer().value()).text(key.token());
  }

  FieldWriter headers(List<Header> headers) {
    run(() -> packer.packArrayHeader(headers.size()));
    for (Header header : headers) {
      text(header.name()).text(header.value());
    }
    return this;
  }

  byte[] toByteArray() {
    return packer.toByteArray();
  }

  private FieldWriter run(Step step) {
    try {
      step.run();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes to the buffer. */
  private interface Step {
    void run() throws IOException;
  }
}
