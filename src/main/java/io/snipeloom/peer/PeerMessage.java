package io.snipeloom.peer;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** A message between two instances; each frame holds one message and begins with its version. */
sealed interface PeerMessage permits CorrelatedMessage, DemandMessage {

  /**
   * Encodes the message as a frame.
   *
   * @return the frame without its length
   */
  byte[] toBytes();

  /**
   * Decodes a frame.
   *
   * @param bytes the frame without its length
   * @return the message
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_FRAME} if the frame is malformed or
   *     has an unsupported version
   */
  static PeerMessage parse(byte[] bytes) {
    return switch (version(bytes)) {
      case LoanMessage.VERSION -> LoanMessage.parse(bytes);
      case DemandMessage.VERSION -> DemandMessage.parse(bytes);
      case OriginMessage.VERSION -> OriginMessage.parse(bytes);
      case ClaimMessage.VERSION -> ClaimMessage.parse(bytes);
      default ->
          throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "unsupported version of a frame");
    };
  }

  private static int version(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpacker.unpackInt();
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "cannot decode the version of a frame")
          .withCause(e);
    }
  }
}
