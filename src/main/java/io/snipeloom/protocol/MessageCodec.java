package io.snipeloom.protocol;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessagePackException;

/**
 * Converts messages to and from MessagePack: an array of the type number and the fields.
 *
 * <p>Stateless and thread-safe. Decoding allocates no more than a small multiple of the frame.
 */
public final class MessageCodec {
  /** The version of the protocol, which both ends must share. */
  public static final int VERSION = 1;

  private MessageCodec() {}

  /**
   * Returns the bytes of a message.
   *
   * @param message the message
   * @return the bytes
   */
  public static byte[] encode(Message message) {
    MessageType type = MessageType.of(message);
    FieldWriter out = new FieldWriter().begin(type.number(), type.fieldCount());
    type.write(out, message);
    return out.toByteArray();
  }

  /**
   * Returns the message in a frame.
   *
   * @param frame the bytes of one message
   * @return the message
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_FRAME} if the bytes are not exactly
   *     one known message
   */
  public static Message decode(byte[] frame) {
    try {
      return decodeChecked(frame);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw FieldReader.malformed("the frame is not a message").withCause(e);
    } catch (SnipeloomException e) {
      throw FieldReader.malformed(e.getMessage()).withCause(e);
    }
  }

  private static Message decodeChecked(byte[] frame) throws IOException {
    FieldReader in = new FieldReader(frame);
    int length = in.arrayLength();
    MessageType type = MessageType.of(in.smallNumber());
    if (length != type.fieldCount() + 1) {
      throw FieldReader.malformed("wrong number of fields for " + type);
    }
    Message message = type.read(in);
    in.end();
    return message;
  }
}
