package io.snipeloom.protocol;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes messages as MessagePack arrays of the type number followed by the fields.
 *
 * <p>Stateless and thread-safe. The memory that decoding allocates is at most a small multiple of
 * the frame length.
 */
public final class MessageCodec {
  /** The protocol version, which must be the same at both ends. */
  public static final int VERSION = 1;

  private MessageCodec() {}

  /**
   * Encodes a message.
   *
   * @return the frame content, without the length prefix
   */
  public static byte[] encode(Message message) {
    MessageType type = MessageType.of(message);
    FieldWriter out = new FieldWriter().writeStart(type.number(), type.fieldCount());
    type.write(out, message);
    return out.toByteArray();
  }

  /**
   * Decodes a message.
   *
   * @param frame the frame content, without the length prefix
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_FRAME} if the frame is not exactly
   *     one message of a known type
   */
  public static Message decode(byte[] frame) {
    try {
      return decodeFields(frame);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw FieldReader.malformed("frame is not a valid message").withCause(e);
    } catch (SnipeloomException e) {
      throw FieldReader.malformed(e.getMessage()).withCause(e);
    }
  }

  private static Message decodeFields(byte[] frame) throws IOException {
    FieldReader in = new FieldReader(frame);
    int length = in.readArrayLength();
    MessageType type = MessageType.of(in.readInt());
    if (length != type.fieldCount() + 1) {
      throw FieldReader.malformed("wrong number of fields for " + type);
    }
    Message message = type.read(in);
    in.requireEnd();
    return message;
  }
}
