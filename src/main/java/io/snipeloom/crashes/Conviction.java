package io.snipeloom.crashes;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The decision that requests with a trait crash the replicas that serve them, and are refused from
 * now on. Immutable.
 *
 * @param trait the trait
 * @param crashes the number of crashes that it rests on
 * @param decidedAtMillis the time of day of the decision, in Unix milliseconds
 */
public record Conviction(RequestTrait trait, int crashes, long decidedAtMillis) {
  /** The version of the encoding; convictions of any other version are rejected. */
  private static final int ENCODING_VERSION = 1;

  /**
   * Encodes the conviction without its trait.
   *
   * @return the conviction in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(ENCODING_VERSION).packInt(crashes).packLong(decidedAtMillis);
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a conviction").withCause(e);
    }
  }

  /**
   * Decodes a conviction.
   *
   * @param trait the trait
   * @param bytes the rest of the conviction
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes cannot be
   *     decoded
   */
  public static Conviction parse(RequestTrait trait, byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != ENCODING_VERSION) {
        throw new IOException("unsupported version");
      }
      return new Conviction(trait, unpacker.unpackInt(), unpacker.unpackLong());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "conviction cannot be decoded")
          .withCause(e);
    }
  }
}
