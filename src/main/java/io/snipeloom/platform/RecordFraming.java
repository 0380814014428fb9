package io.snipeloom.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes keyed records in the store's binary format: four bytes of record length, one
 * byte of key length, the key and the value. The record length counts everything after itself.
 *
 * <p>Stateless and thread-safe.
 */
final class RecordFraming {
  private RecordFraming() {}

  static ByteBuf encode(List<KeyedRecord> records) {
    ByteBuf bytes = Unpooled.buffer();
    for (KeyedRecord record : records) {
      byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
      bytes.writeInt(1 + key.length + record.value().length);
      bytes.writeByte(key.length);
      bytes.writeBytes(key);
      bytes.writeBytes(record.value());
    }
    return bytes;
  }

  static List<KeyedRecord> decode(ByteBuf bytes) {
    List<KeyedRecord> records = new ArrayList<>();
    try {
      while (bytes.isReadable()) {
        records.add(decodeRecord(bytes.readSlice(bytes.readInt())));
      }
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      throw SnipeloomException.of(
              ErrorCode.MALFORMED_RECORD, "malformed records in the response of the store")
          .withOrigin("read", "store")
          .withCause(e);
    }
    return records;
  }

  /** Decodes one record; the store takes any bytes for one, also such that hold no key. */
  private static KeyedRecord decodeRecord(ByteBuf record) {
    if (!record.isReadable()) {
      return KeyedRecord.unreadable();
    }
    int keyBytes = record.readUnsignedByte();
    if (keyBytes == 0 || keyBytes > record.readableBytes()) {
      return KeyedRecord.unreadable();
    }
    String key = record.readSlice(keyBytes).toString(StandardCharsets.UTF_8);
    return new KeyedRecord(key, ByteBufUtil.getBytes(record));
  }
}
