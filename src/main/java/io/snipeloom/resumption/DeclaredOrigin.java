package io.snipeloom.resumption;

import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.Collection;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * An origin of which an instance declared, before the first event, that streams may begin at it.
 * Immutable.
 *
 * @param origin the origin
 * @param declaration identifies the declaration; each one has another
 * @param instance the name of the instance, empty if it is unknown
 * @param incarnation the start of the instance that declared it, empty if it is unknown
 * @param era the era of the store as the instance knew it then
 */
public record DeclaredOrigin(
    StreamOrigin origin, String declaration, String instance, String incarnation, long era) {
  /** The version of the encoding; declarations of any later version are rejected. */
  private static final int ENCODING_VERSION = 2;

  /** The version of the encoding that does not tell who declared the origin. */
  private static final int ANONYMOUS_VERSION = 1;

  private static final long UNKNOWN_ERA = 0;

  /** Returns whether one of some incarnations declared the origin. */
  boolean isDeclaredByOneOf(Collection<String> incarnations) {
    return !incarnation.isEmpty() && incarnations.contains(incarnation);
  }

  /** Returns whether the instance that declared it may have declared others that are lost. */
  boolean mayBeOneOfSeveral(long currentEra) {
    return !incarnation.isEmpty() && era != currentEra;
  }

  /** Returns a text that no declaration by another incarnation, or of another origin, has. */
  public String text() {
    return incarnation.length() + ":" + incarnation + origin.text();
  }

  /**
   * Encodes the declaration.
   *
   * @return the declaration in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(ENCODING_VERSION).packString(origin.service());
      packer.packString(origin.version().value()).packString(declaration);
      packer.packString(instance).packString(incarnation).packLong(era);
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a stream version")
          .withCause(e);
    }
  }

  /**
   * Decodes a declaration.
   *
   * @param bytes the encoded declaration
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if the bytes cannot be
   *     decoded
   */
  public static DeclaredOrigin parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int encoding = unpacker.unpackInt();
      if (encoding != ENCODING_VERSION && encoding != ANONYMOUS_VERSION) {
        throw new IOException("unsupported version");
      }
      String service = unpacker.unpackString();
      SoftwareVersion version = new SoftwareVersion(unpacker.unpackString());
      StreamOrigin origin = new StreamOrigin(service, version);
      String declaration = unpacker.unpackString();
      return encoding == ANONYMOUS_VERSION
          ? new DeclaredOrigin(origin, declaration, "", "", UNKNOWN_ERA)
          : new DeclaredOrigin(
              origin,
              declaration,
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackLong());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "a stream version cannot be decoded")
          .withCause(e);
    }
  }
}
