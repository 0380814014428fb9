package io.snipeloom.peer;

import io.snipeloom.resumption.OriginRecord;
import io.snipeloom.resumption.PeerAnswer;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** A message between two instances about the origins of streams. */
sealed interface OriginMessage extends CorrelatedMessage {
  /** The version of the encoding, which no other message between instances uses. */
  int VERSION = 4;

  /** The most streams in a message; a longer list is malformed. */
  int MAX_STREAMS = 512;

  /**
   * Asks which streams the other instance knows.
   *
   * @param correlationId the identifier that the response repeats
   * @param attempts the attempts that began the streams
   */
  record Request(long correlationId, List<String> attempts) implements OriginMessage {

    /** Makes an immutable copy of the attempts. */
    public Request {
      attempts = List.copyOf(attempts);
    }
  }

  /**
   * Responds to a request.
   *
   * @param correlationId the identifier of the request
   * @param answer what the instance knows of the streams
   */
  record Response(long correlationId, PeerAnswer answer) implements OriginMessage {}

  @Override
  default byte[] toBytes() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packLong(correlationId());
      if (this instanceof Request request) {
        packer.packBoolean(true).packArrayHeader(request.attempts().size());
        for (String attempt : request.attempts()) {
          packer.packString(attempt);
        }
      } else if (this instanceof Response response) {
        packer.packBoolean(false);
        pack(packer, response.answer());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "cannot encode origin message").withCause(e);
    }
  }

  private static void pack(MessageBufferPacker packer, PeerAnswer answer) throws IOException {
    packer.packString(answer.incarnation()).packBoolean(answer.complete());
    packer.packArrayHeader(answer.known().size());
    for (OriginRecord record : answer.known()) {
      packer.packString(record.attempt()).packString(record.origin().service());
      packer.packString(record.origin().version().value());
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
  static OriginMessage parse(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackInt() != VERSION) {
        throw new IOException("unsupported version");
      }
      long id = unpacker.unpackLong();
      boolean isRequest = unpacker.unpackBoolean();
      return isRequest ? new Request(id, attempts(unpacker)) : new Response(id, answer(unpacker));
    } catch (IOException | RuntimeException e) {
      throw SnipeloomException.of(ErrorCode.MALFORMED_FRAME, "cannot decode origin message")
          .withCause(e);
    }
  }

  private static List<String> attempts(MessageUnpacker unpacker) throws IOException {
    List<String> attempts = new ArrayList<>();
    int count = streams(unpacker);
    for (int i = 0; i < count; i++) {
      attempts.add(unpacker.unpackString());
    }
    return attempts;
  }

  private static PeerAnswer answer(MessageUnpacker unpacker) throws IOException {
    String incarnation = unpacker.unpackString();
    boolean complete = unpacker.unpackBoolean();
    List<OriginRecord> known = new ArrayList<>();
    int count = streams(unpacker);
    for (int i = 0; i < count; i++) {
      String attempt = unpacker.unpackString();
      String service = unpacker.unpackString();
      SoftwareVersion version = new SoftwareVersion(unpacker.unpackString());
      known.add(new OriginRecord(attempt, new StreamOrigin(service, version)));
    }
    return new PeerAnswer(incarnation, complete, known);
  }

  private static int streams(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_STREAMS) {
      throw new IOException("a message names " + count + " streams");
    }
    return count;
  }
}
