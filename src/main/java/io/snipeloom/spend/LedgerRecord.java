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
 * @param change the tokens that the record claims, negative if it returns them, 0 if it corrects a
 *     total that the store has lost
 * @param era the era of the store that the writer knew, at least 0
 * @param changedInEra whether tokens were claimed or returned in that era, up to this record
 */
public record LedgerRecord(
    CustomerId customer,
    long claimedTokens,
    String writer,
    long sequence,
    long change,
    long era,
    boolean changedInEra) {
  private static final int FIELDS = 6;

  /** The number of fields that earlier versions wrote. */
  private static final int FIELDS_WITHOUT_ERA = 3;

  /** A claimed total above every limit, with room for sums. */
  private static final long EVERYTHING = Long.MAX_VALUE / 4;

  /** Validates the claimed total. */
  public LedgerRecord {
    if (claimedTokens < 0) {
      throw new IllegalArgumentException("claimed tokens must be at least 0");
    }
  }

  /**
   * Returns the record that takes the place of one that cannot be decoded. Nothing can be claimed
   * for its customer, since what others have claimed is not known.
   *
   * @param customer the customer
   */
  public static LedgerRecord unreadable(CustomerId customer) {
    return new LedgerRecord(customer, EVERYTHING, "", 0, 0, 0, false);
  }

  /** Returns whether tokens were claimed or returned in an era, up to this record. */
  boolean showsChangeIn(long inEra) {
    return era == inEra && changedInEra;
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
      packer.packLong(change);
      packer.packLong(era);
      packer.packBoolean(changedInEra);
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
      int fields = unpacker.unpackArrayHeader();
      if (fields != FIELDS && fields != FIELDS_WITHOUT_ERA) {
        throw new IOException("wrong number of fields");
      }
      boolean hasEra = fields == FIELDS;
      return new LedgerRecord(
          customer,
          unpacker.unpackLong(),
          unpacker.unpackString(),
          unpacker.unpackLong(),
          hasEra ? unpacker.unpackLong() : 0,
          hasEra ? unpacker.unpackLong() : 0,
          hasEra && unpacker.unpackBoolean());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(
              ErrorCode.MALFORMED_RECORD, "ledger record of " + customer + " cannot be decoded")
          .withCause(e);
    }
  }
}
