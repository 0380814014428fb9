package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * @param parts the parts of the total that changed lately; empty in a record of an earlier version
 *     of this program
 * @param completeSinceMillis from when on the parts are complete, see {@link ClaimedTotal}
 */
public record LedgerRecord(
    CustomerId customer,
    long claimedTokens,
    String writer,
    long sequence,
    long change,
    long era,
    Optional<List<ClaimPart>> parts,
    long completeSinceMillis) {
  private static final int FIELDS = 6;
  private static final int PART_FIELDS = 4;

  /** The number of fields that earlier versions wrote. */
  private static final int FIELDS_WITHOUT_ERA = 3;

  /** A claimed total above every limit, with room for sums. */
  private static final long EVERYTHING = Long.MAX_VALUE / 4;

  /** Validates the claimed total and copies the parts. */
  public LedgerRecord {
    parts = parts.map(List::copyOf);
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
    return new LedgerRecord(customer, EVERYTHING, "", 0, 0, 0, Optional.empty(), 0);
  }

  /**
   * Encodes all fields except the customer. The parts follow the fields that earlier versions of
   * this program read, which ignore what follows.
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
      packer.packBoolean(true);
      if (parts.isPresent()) {
        packer.packLong(completeSinceMillis);
        pack(packer, parts.get());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a ledger record").withCause(e);
    }
  }

  private static void pack(MessageBufferPacker packer, List<ClaimPart> parts) throws IOException {
    packer.packArrayHeader(parts.size());
    for (ClaimPart part : parts) {
      packer.packArrayHeader(PART_FIELDS).packLong(part.id()).packLong(part.sequence());
      packer.packLong(part.tokens()).packLong(part.changedMillis());
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
      long claimedTokens = unpacker.unpackLong();
      String writer = unpacker.unpackString();
      long sequence = unpacker.unpackLong();
      long change = hasEra ? unpacker.unpackLong() : 0;
      long era = hasEra ? unpacker.unpackLong() : 0;
      if (hasEra) {
        // A statement that only earlier versions of this program use.
        unpacker.unpackBoolean();
      }
      boolean hasParts = unpacker.hasNext();
      long completeSinceMillis = hasParts ? unpacker.unpackLong() : 0;
      Optional<List<ClaimPart>> parts =
          hasParts ? Optional.of(unpackParts(unpacker)) : Optional.empty();
      return new LedgerRecord(
          customer, claimedTokens, writer, sequence, change, era, parts, completeSinceMillis);
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(
              ErrorCode.MALFORMED_RECORD, "ledger record of " + customer + " cannot be decoded")
          .withCause(e);
    }
  }

  private static List<ClaimPart> unpackParts(MessageUnpacker unpacker) throws IOException {
    List<ClaimPart> parts = new ArrayList<>();
    int count = unpacker.unpackArrayHeader();
    for (int i = 0; i < count; i++) {
      if (unpacker.unpackArrayHeader() != PART_FIELDS) {
        throw new IOException("wrong number of fields in a part");
      }
      parts.add(
          new ClaimPart(
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong()));
    }
    return parts;
  }
}
