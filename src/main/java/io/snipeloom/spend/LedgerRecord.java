package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * An entry of the ledger: the claimed total of a customer and the writer that set it.
 *
 * @param customer the customer
 * @param claimedTokens the tokens that all instances together have claimed and not returned, at
 *     least 0
 * @param writer the incarnation that wrote the record
 * @param sequence the number of the record among the records of the writer
 */
public record LedgerRecord(CustomerId customer, long claimedTokens, String writer, long sequence) {
  private static final int FIELDS = 3;

  /** Validates the claimed total. */
  public LedgerRecord {
    if (claimedTokens < 0) {
      throw new IllegalArgumentException("claimed tokens must be at least 0");
    }
  }

  /**
   * Encodes all fields except the customer.
   *
   * @return the record in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(FIELDS);
      packer.packLong(claimedTokens);
      packer.packString(writer);
      packer.packLong(sequence);
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a ledger record").withCause(e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param customer the customer, which is not part of the encoding
   * @param bytes the encoded record
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes cannot be
   *     decoded
   */
  public static LedgerRecord parse(CustomerId customer, byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackArrayHeader() != FIELDS) {
        throw new IOException("wrong number of fields");
      }
      return new LedgerRecord(
          customer, unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackLong());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(
              ErrorCode.MALFORMED_RECORD, "ledger record of " + customer + " cannot be decoded")
          .withCause(e);
    }
  }
}
