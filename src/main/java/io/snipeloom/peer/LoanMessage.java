package io.snipeloom.peer;

import io.snipeloom.spend.LoanRequest;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** A message between two instances about a loan of tokens; each frame holds one message. */
sealed interface LoanMessage extends CorrelatedMessage {
  /** The version of the encoding; frames of any other version are rejected. */
  int VERSION = 1;

  /**
   * Requests a loan.
   *
   * @param correlationId the identifier that the response repeats
   * @param loan the customer and the number of tokens
   */
  record Request(long correlationId, LoanRequest loan) implements LoanMessage {}

  /**
   * Responds to a request.
   *
   * @param correlationId the identifier of the request
   * @param tokens the number of tokens that now belong to the borrowing instance, 0 if none
   */
  record Response(long correlationId, long tokens) implements LoanMessage {

    /** Checks that the number of tokens is not negative. */
    public Response {
      if (tokens < 0) {
        throw new IllegalArgumentException("number of lent tokens must not be negative");
      }
    }
  }

  @Override
  default byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(correlationId());
      if (this instanceof Request request) {
        LoanRequest loan = request.loan();
        packer.packBoolean(true).packString(loan.customer().value());
        packer.packLong(loan.missingTokens()).packLong(loan.wantedTokens());
      } else if (this instanceof Response response) {
        packer.packBoolean(false).packLong(response.tokens());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode loan message").withCause(e);
    }
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the frame without its length
   * @return the message
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_FRAME} if the frame is malformed or
   *     has an unsupported version
   */
  static LoanMessage parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != VERSION) {
        throw new IOException("unsupported version");
      }
      long id = unpacker.unpackLong();
      boolean isRequest = unpacker.unpackBoolean();
      return isRequest
          ? new Request(id, loanRequest(unpacker))
          : new Response(id, unpacker.unpackLong());
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "cannot decode loan message")
          .withCause(e);
    }
  }

  private static LoanRequest loanRequest(MessageUnpacker unpacker) throws IOException {
    return new LoanRequest(
        CustomerId.of(unpacker.unpackString()), unpacker.unpackLong(), unpacker.unpackLong());
  }
}
