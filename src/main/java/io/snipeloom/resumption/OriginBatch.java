package io.snipeloom.resumption;

import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The origins that one instance records with one call to the store. Immutable.
 *
 * @param recordedAtMillis the time of day of the recording, in Unix milliseconds
 * @param records the origins
 */
public record OriginBatch(long recordedAtMillis, List<OriginRecord> records) {
  /** The version of the encoding; batches of any other version are rejected. */
  private static final int ENCODING_VERSION = 1;

  /** Makes an immutable copy of the records. */
  public OriginBatch {
    records = List.copyOf(records);
  }

  /**
   * Encodes the batch.
   *
   * @return the batch in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(ENCODING_VERSION).packLong(recordedAtMillis);
      packer.packArrayHeader(records.size());
      for (OriginRecord record : records) {
        packer.packString(record.attempt()).packString(record.origin().service());
        packer.packString(record.origin().version().value());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode stream origins").withCause(e);
    }
  }

  /**
   * Decodes a batch.
   *
   * @param bytes the encoded batch
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes cannot be
   *     decoded
   */
  public static OriginBatch parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != ENCODING_VERSION) {
        throw new IOException("unsupported version");
      }
      long recordedAtMillis = unpacker.unpackLong();
      int count = unpacker.unpackArrayHeader();
      List<OriginRecord> records = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        records.add(parseRecord(unpacker));
      }
      return new OriginBatch(recordedAtMillis, records);
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "stream origins cannot be decoded")
          .withCause(e);
    }
  }

  private static OriginRecord parseRecord(MessageUnpacker unpacker) throws IOException {
    String attempt = unpacker.unpackString();
    String service = unpacker.unpackString();
    SoftwareVersion version = new SoftwareVersion(unpacker.unpackString());
    return new OriginRecord(attempt, new StreamOrigin(service, version));
  }
}
