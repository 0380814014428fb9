package io.snipeloom.resumption;

import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * An origin of which an instance declared, before the first event, that streams may begin at it.
 * Immutable.
 *
 * @param origin the origin
 * @param declaration identifies the declaration; each one has another
 */
public record DeclaredOrigin(StreamOrigin origin, String declaration) {
  /** The version of the encoding; declarations of any other version are rejected. */
  private static final int ENCODING_VERSION = 1;

  /**
   * Encodes the declaration.
   *
   * @return the declaration in MessagePack format
   */
  public byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(ENCODING_VERSION).packString(origin.service());
      packer.packString(origin.version().value()).packString(declaration);
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
      if (unpacker.unpackInt() != ENCODING_VERSION) {
        throw new IOException("unsupported version");
      }
      String service = unpacker.unpackString();
      SoftwareVersion version = new SoftwareVersion(unpacker.unpackString());
      return new DeclaredOrigin(new StreamOrigin(service, version), unpacker.unpackString());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "a stream version cannot be decoded")
          .withCause(e);
    }
  }
}
