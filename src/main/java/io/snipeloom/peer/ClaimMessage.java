package io.snipeloom.peer;

import io.snipeloom.spend.ClaimPart;
import io.snipeloom.spend.CustomerPart;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** A message between two instances about the tokens that they have claimed. */
sealed interface ClaimMessage extends CorrelatedMessage {
  /** The version of the encoding, which no other message between instances uses. */
  int VERSION = 5;

  /** The most parts in a message, all of which fit into a frame; a longer list is malformed. */
  int MAX_PARTS = 3_000;

  /** Returns the parts of claimed totals that the message tells. */
  List<CustomerPart> parts();

  /**
   * Asks which claims the other instance knows.
   *
   * @param correlationId the identifier that the response repeats
   * @param era the era of the store
   */
  record Request(long correlationId, long era) implements ClaimMessage {
    @Override
    public List<CustomerPart> parts() {
      return List.of();
    }
  }

  /**
   * Tells new claims, which the other instance is to remember.
   *
   * @param correlationId the identifier that the response repeats
   * @param parts the claims
   */
  record Notice(long correlationId, List<CustomerPart> parts) implements ClaimMessage {

    /** Makes an immutable copy of the parts. */
    public Notice {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Responds to a request or a notice.
   *
   * @param correlationId the identifier of the message
   * @param parts the claims that were asked for
   */
  record Response(long correlationId, List<CustomerPart> parts) implements ClaimMessage {

    /** Makes an immutable copy of the parts. */
    public Response {
      parts = List.copyOf(parts);
    }
  }

  /** The kinds of messages. */
  enum Kind {
    REQUEST(1),
    NOTICE(2),
    RESPONSE(3);

    private final int number;

    Kind(int number) {
      this.number = number;
    }

    private static Kind of(ClaimMessage message) {
      if (message instanceof Request) {
        return REQUEST;
      }
      return message instanceof Notice ? NOTICE : RESPONSE;
    }

    private static Kind parse(int number) throws IOException {
      for (Kind kind : values()) {
        if (kind.number == number) {
          return kind;
        }
      }
      throw new IOException("unknown kind of message");
    }
  }

  @Override
  default byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(correlationId()).packInt(Kind.of(this).number);
      packer.packLong(this instanceof Request request ? request.era() : 0);
      packer.packArrayHeader(parts().size());
      for (CustomerPart told : parts()) {
        ClaimPart part = told.part();
        packer.packString(told.customer().value()).packLong(part.id());
        packer.packLong(part.sequence()).packLong(part.tokens()).packLong(part.changedMillis());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode claim message").withCause(e);
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
  static ClaimMessage parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != VERSION) {
        throw new IOException("unsupported version");
      }
      long id = unpacker.unpackLong();
      Kind kind = Kind.parse(unpacker.unpackInt());
      long era = unpacker.unpackLong();
      List<CustomerPart> parts = unpackParts(unpacker);
      return switch (kind) {
        case REQUEST -> new Request(id, era);
        case NOTICE -> new Notice(id, parts);
        case RESPONSE -> new Response(id, parts);
      };
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "cannot decode claim message")
          .withCause(e);
    }
  }

  private static List<CustomerPart> unpackParts(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_PARTS) {
      throw new IOException("a message tells " + count + " claims");
    }
    List<CustomerPart> parts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      CustomerId customer = CustomerId.of(unpacker.unpackString());
      ClaimPart part =
          new ClaimPart(
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong());
      parts.add(new CustomerPart(customer, part));
    }
    return parts;
  }
}
