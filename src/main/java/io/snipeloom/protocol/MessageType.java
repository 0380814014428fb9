package io.snipeloom.protocol;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Urgency;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The message types, each with its type number and the encoding of its fields on the wire. */
enum MessageType {
  HELLO(1, 3, Message.Hello.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Hello hello = (Message.Hello) message;
      out.writeLong(hello.version()).writeString(hello.sender().value()).writeBytes(hello.nonce());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Hello(in.readInt(), Incarnation.of(in.readString()), in.readBytes());
    }
  },
  PROOF(2, 1, Message.Proof.class) {
    @Override
    void write(FieldWriter out, Message message) {
      out.writeBytes(((Message.Proof) message).signature());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Proof(in.readBytes());
    }
  },
  HEARTBEAT(3, 3, Message.Heartbeat.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Heartbeat heartbeat = (Message.Heartbeat) message;
      out.writeLong(heartbeat.running())
          .writeLong(heartbeat.queued())
          .writeLong(heartbeat.capacity());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Heartbeat(in.readInt(), in.readInt(), in.readInt());
    }
  },
  LEAVING(4, 0, Message.Leaving.class) {
    @Override
    void write(FieldWriter out, Message message) {}

    @Override
    Message read(FieldReader in) {
      return new Message.Leaving();
    }
  },
  DISPATCH(5, 21, Message.Dispatch.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Dispatch dispatch = (Message.Dispatch) message;
      out.writeAttempt(dispatch.attempt())
          .writeKey(dispatch.key())
          .writeLong(dispatch.issuedAtMillis());
      out.writeString(dispatch.sidecar().value()).writeString(dispatch.budget().value());
      out.writeString(dispatch.requestClass().value()).writeString(dispatch.upstream().value());
      out.writeEnum(dispatch.urgency()).writeLong(dispatch.reservedTokens());
      out.writeLong(dispatch.maxOutputTokens()).writeLong(dispatch.remainingMillis());
      out.writeBoolean(dispatch.retained())
          .writeString(dispatch.fingerprint())
          .writeBoolean(dispatch.alone());
      writeHttpCall(out, dispatch.call());
      out.writeString(dispatch.traceparent());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Dispatch(
          in.readAttempt(),
          in.readKey(),
          in.readLong(),
          Incarnation.of(in.readString()),
          BudgetId.of(in.readString()),
          RequestClassId.of(in.readString()),
          UpstreamId.of(in.readString()),
          in.readEnum(Urgency.class),
          in.readLong(),
          in.readLong(),
          in.readLong(),
          in.readBoolean(),
          in.readString(),
          in.readBoolean(),
          readHttpCall(in),
          in.readString());
    }
  },
  ANSWER_HEAD(6, 4, Message.AnswerHead.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerHead head = (Message.AnswerHead) message;
      out.writeAttempt(head.attempt()).writeLong(head.status()).writeHeaders(head.headers());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerHead(in.readAttempt(), in.readInt(), in.readHeaders());
    }
  },
  ANSWER_CHUNK(7, 4, Message.AnswerChunk.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerChunk chunk = (Message.AnswerChunk) message;
      out.writeAttempt(chunk.attempt()).writeLong(chunk.sequence()).writeBytes(chunk.data());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerChunk(in.readAttempt(), in.readLong(), in.readBytes());
    }
  },
  ANSWER_END(8, 8, Message.AnswerEnd.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerEnd end = (Message.AnswerEnd) message;
      out.writeAttempt(end.attempt()).writeLong(end.count()).writeBoolean(end.complete());
      out.writeLong(end.promptTokens()).writeLong(end.outputTokens());
      out.writeEnum(end.error()).writeString(end.message());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerEnd(
          in.readAttempt(),
          in.readLong(),
          in.readBoolean(),
          in.readLong(),
          in.readLong(),
          in.readOptionalEnum(ErrorCode.class),
          in.readString());
    }
  },
  REFUSED(9, 6, Message.Refused.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Refused refused = (Message.Refused) message;
      out.writeAttempt(refused.attempt()).writeEnum(refused.code()).writeString(refused.message());
      out.writeEnum(refused.runState()).writeLong(refused.retryAfterMillis());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Refused(
          in.readAttempt(),
          in.readEnum(ErrorCode.class),
          in.readString(),
          in.readEnum(RunState.class),
          in.readLong());
    }
  },
  ANSWER_ACK(10, 3, Message.AnswerAck.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerAck ack = (Message.AnswerAck) message;
      out.writeAttempt(ack.attempt()).writeLong(ack.nextSequence());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerAck(in.readAttempt(), in.readLong());
    }
  },
  CANCEL(11, 2, Message.Cancel.class) {
    @Override
    void write(FieldWriter out, Message message) {
      out.writeAttempt(((Message.Cancel) message).attempt());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Cancel(in.readAttempt());
    }
  },
  ATTACH(12, 3, Message.Attach.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Attach attach = (Message.Attach) message;
      out.writeAttempt(attach.attempt()).writeLong(attach.fromSequence());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Attach(in.readAttempt(), in.readLong());
    }
  },
  CALL_QUERY(13, 6, Message.CallQuery.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.CallQuery query = (Message.CallQuery) message;
      out.writeLong(query.queryId()).writeKey(query.key()).writeOptionalAttempt(query.attempt());
      out.writeBoolean(query.plantTombstone());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.CallQuery(
          in.readLong(), in.readKey(), in.readOptionalAttempt(), in.readBoolean());
    }
  },
  CALL_STATUS(14, 4, Message.CallStatus.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.CallStatus status = (Message.CallStatus) message;
      out.writeLong(status.queryId())
          .writeEnum(status.state())
          .writeOptionalAttempt(status.attempt());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.CallStatus(
          in.readLong(), in.readEnum(CallState.class), in.readOptionalAttempt());
    }
  };

  private static final Map<Class<? extends Message>, MessageType> BY_CLASS =
      Arrays.stream(values())
          .collect(Collectors.toMap(type -> type.messageClass, Function.identity()));
  private static final Map<Integer, MessageType> BY_NUMBER =
      Arrays.stream(values()).collect(Collectors.toMap(type -> type.number, Function.identity()));

  private final int number;
  private final int fieldCount;
  private final Class<? extends Message> messageClass;

  MessageType(int number, int fieldCount, Class<? extends Message> messageClass) {
    this.number = number;
    this.fieldCount = fieldCount;
    this.messageClass = messageClass;
  }

  static MessageType of(Message message) {
    return BY_CLASS.get(message.getClass());
  }

  static MessageType of(int number) {
    MessageType type = BY_NUMBER.get(number);
    if (type == null) {
      throw FieldReader.malformed("unknown message type " + number);
    }
    return type;
  }

  int number() {
    return number;
  }

  int fieldCount() {
    return fieldCount;
  }

  abstract void write(FieldWriter out, Message message);

  abstract Message read(FieldReader in) throws IOException;

  private static void writeHttpCall(FieldWriter out, HttpCall call) {
    out.writeString(call.method())
        .writeString(call.path())
        .writeHeaders(call.headers())
        .writeBytes(call.body());
  }

  private static HttpCall readHttpCall(FieldReader in) throws IOException {
    return new HttpCall(in.readString(), in.readString(), in.readHeaders(), in.readBytes());
  }
}
