package io.snipeloom.protocol;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of one message and never allocates more than the frame holds. */
final class FieldReader {
  private static final int MAX_HEADERS = 256;

  private final int frameBytes;
  private final MessageUnpacker unpacker;

  FieldReader(byte[] frame) {
    this.frameBytes = frame.length;
    this.unpacker =
        new MessagePack.UnpackerConfig()
            .withStringSizeLimit(Math.max(1, frame.length))
            .newUnpacker(frame);
  }

  int arrayLength() throws IOException {
    return unpacker.unpackArrayHeader();
  }

  long number() throws IOException {
    return unpacker.unpackLong();
  }

  int smallNumber() throws IOException {
    return unpacker.unpackInt();
  }

  boolean flag() throws IOException {
    return unpacker.unpackBoolean();
  }

  String text() throws IOException {
    return unpacker.unpackString();
  }

  <E extends Enum<E>> E name(Class<E> type) throws IOException {
    return Enum.valueOf(type, text());
  }

  <E extends Enum<E>> E optionalName(Class<E> type) throws IOException {
    return unpacker.tryUnpackNil() ? null : name(type);
  }

  byte[] bytes() throws IOException {
    int length = unpacker.unpackBinaryHeader();
    if (length > frameBytes - unpacker.getTotalReadBytes()) {
      throw malformed("a field is longer than its frame");
    }
    return unpacker.readPayload(length);
  }

  AttemptId attempt() throws IOException {
    Incarnation holder = Incarnation.of(text());
    return AttemptId.of(holder, number());
  }

  AttemptId optionalAttempt() throws IOException {
    if (!unpacker.tryUnpackNil()) {
      return attempt();
    }
    number();
    return null;
  }

  RequestKey key() throws IOException {
    CustomerId customer = CustomerId.of(text());
    return RequestKey.of(customer, text());
  }

  List<Header> headers() throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_HEADERS) {
      throw malformed("too many headers");
    }
    List<Header> headers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = text();
      headers.add(new Header(name, text()));
    }
    return headers;
  }

  void end() throws IOException {
    if (unpacker.hasNext()) {
      throw malformed("bytes follow the message");
    }
  }

  static SnipeloomException malformed(String reason) {
    return SnipeloomException.of(ErrorCode.MALFORMED_FRAME, reason);
  }
}
