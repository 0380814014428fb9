package io.snipeloom.peer;

import io.snipeloom.spend.LoanRequest;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What instances say to each other, each in one frame. */
public sealed interface LoanMessage {
  /** The version of the form; frames of another one are refused. */
  int VERSION = 1;

  /**
   * Returns the number that ties an answer to its question on one connection.
   *
   * @return the number
   */
  long number();

  /**
   * A question for tokens.
   *
   * @param number the number
   * @param request what is asked for
   */
  record Ask(long number, LoanRequest request) implements LoanMessage {}

  /**
   * The answer.
   *
   * @param number the number of the question
   * @param tokens the tokens that are the asking instance's from now on, 0 if none
   */
  record Lent(long number, long tokens) implements LoanMessage {

    /** Checks the tokens. */
    public Lent {
      if (tokens < 0) {
        throw new IllegalArgumentException("lent tokens must be at least 0");
      }
    }
  }

  /**
   * Returns the encoded form.
   *
   * @return the bytes
   */
  default byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(number());
      if (this instanceof Ask ask) {
        LoanRequest request = ask.request();
        packer.packBoolean(true).packString(request.customer().value());
        packer.packLong(request.missingTokens()).packLong(request.wantedTokens());
      } else if (this instanceof Lent lent) {
        packer.packBoolean(false).packLong(lent.tokens());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode a loan").withCause(e);
    }
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the frame without its length
   * @return the message
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_FRAME} if the bytes are no message
   */
  static LoanMessage parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != VERSION) {
        throw new IOException("unknown version");
      }
      long number = unpacker.unpackLong();
      boolean asks = unpacker.unpackBoolean();
      return asks ? new Ask(number, request(unpacker)) : new Lent(number, unpacker.unpackLong());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "loan cannot be decoded").withCause(e);
    }
  }

  private static LoanRequest request(MessageUnpacker unpacker) throws IOException {
    return new LoanRequest(
        CustomerId.of(unpacker.unpackString()), unpacker.unpackLong(), unpacker.unpackLong());
  }
}
