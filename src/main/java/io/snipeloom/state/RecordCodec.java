package io.snipeloom.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes record batches as MessagePack and decodes them.
 *
 * <p>Thread-safe; all methods are static.
 */
public final class RecordCodec {
  /** The maximum size of an encoded batch in bytes. */
  public static final int MAX_BATCH_BYTES = 1024 * 1024;

  private static final ObjectMapper MAPPER =
      new MessagePackMapper().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private RecordCodec() {}

  /**
   * Encodes a batch.
   *
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the batch is too large
   */
  public static byte[] encode(RecordBatch batch) {
    byte[] bytes = write(batch);
    if (bytes.length > MAX_BATCH_BYTES) {
      throw malformed("a batch of " + bytes.length + " bytes exceeds " + MAX_BATCH_BYTES, null);
    }
    return bytes;
  }

  /**
   * Decodes a batch.
   *
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes are too many,
   *     are not a valid batch or contain a record of an unknown type
   */
  public static RecordBatch decode(byte[] bytes) {
    if (bytes.length > MAX_BATCH_BYTES) {
      throw malformed("a batch of " + bytes.length + " bytes exceeds " + MAX_BATCH_BYTES, null);
    }
    checkSingleValue(bytes);
    return read(bytes, RecordBatch.class);
  }

  private static void checkSingleValue(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != bytes.length) {
        throw malformed("unexpected bytes after the batch", null);
      }
    } catch (IOException | MessagePackException e) {
      throw malformed("invalid MessagePack value", e);
    }
  }

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw malformed("cannot encode " + value.getClass().getSimpleName(), e);
    }
  }

  static <T> T read(byte[] bytes, Class<T> type) {
    T value = null;
    try {
      value = MAPPER.readValue(bytes, type);
    } catch (IOException | RuntimeException e) {
      throw malformed("cannot decode " + type.getSimpleName(), e);
    }
    if (value == null) {
      throw malformed("cannot decode " + type.getSimpleName() + " from nil", null);
    }
    return value;
  }

  private static SnipeloomException malformed(String message, Exception cause) {
    return SnipeloomException.of(ErrorCode.MALFORMED_RECORD, message)
        .withOrigin("decode", "")
        .withCause(cause);
  }
}
