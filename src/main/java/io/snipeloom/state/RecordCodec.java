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
 * Converts record batches to MessagePack and back.
 *
 * <p>Thread-safe; all methods are static.
 */
public final class RecordCodec {
  /** The most bytes of one encoded batch. */
  public static final int MAX_BATCH_BYTES = 1024 * 1024;

  private static final ObjectMapper MAPPER =
      new MessagePackMapper().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private RecordCodec() {}

  /**
   * Encodes a batch.
   *
   * @param batch the batch
   * @return its bytes
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
   * @param bytes the bytes
   * @return the batch
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes are no batch,
   *     or hold a record of an unknown kind
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
        throw malformed("bytes follow the batch", null);
      }
    } catch (IOException | MessagePackException e) {
      throw malformed("no MessagePack value", e);
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
