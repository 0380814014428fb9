package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * One entry of the ledger: the claimed total of a customer and who wrote it last.
 *
 * @param customer the customer
 * @param claimedTokens the tokens that all instances have claimed and not returned
 * @param writer the incarnation that wrote the record
 * @param sequence numbers the records of the writer
 */
public record LedgerRecord(CustomerId customer, long claimedTokens, String writer, long sequence) {
  private static final int FIELDS = 3;

  /** Checks the total. */
  public LedgerRecord {
    if (claimedTokens < 0) {
      throw new IllegalArgumentException("claimed tokens must be at least 0");
    }
  }

  /**
   * Returns the encoded form of all but the customer.
   *
   * @return the bytes
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
   * @param customer the customer
   * @param bytes the encoded form
   * @return the record
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes are no record
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
