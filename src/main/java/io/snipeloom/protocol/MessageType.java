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

/** The types of messages, each with its number and its fields on the wire. */
enum MessageType {
  HELLO(1, 3, Message.Hello.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Hello hello = (Message.Hello) message;
      out.number(hello.version()).text(hello.sender().value()).bytes(hello.nonce());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Hello(in.smallNumber(), Incarnation.of(in.text()), in.bytes());
    }
  },
  PROOF(2, 1, Message.Proof.class) {
    @Override
    void write(FieldWriter out, Message message) {
      out.bytes(((Message.Proof) message).signature());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Proof(in.bytes());
    }
  },
  HEARTBEAT(3, 3, Message.Heartbeat.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Heartbeat beat = (Message.Heartbeat) message;
      out.number(beat.running()).number(beat.queued()).number(beat.capacity());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Heartbeat(in.smallNumber(), in.smallNumber(), in.smallNumber());
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
      out.attempt(dispatch.attempt()).key(dispatch.key()).number(dispatch.issuedAtMillis());
      out.text(dispatch.sidecar().value()).text(dispatch.budget().value());
      out.text(dispatch.requestClass().value()).text(dispatch.upstream().value());
      out.name(dispatch.urgency()).number(dispatch.reservedTokens());
      out.number(dispatch.maxOutputTokens()).number(dispatch.remainingMillis());
      out.flag(dispatch.retained()).text(dispatch.fingerprint()).flag(dispatch.alone());
      writeCall(out, dispatch.call());
      out.text(dispatch.traceparent());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Dispatch(
          in.attempt(),
          in.key(),
          in.number(),
          Incarnation.of(in.text()),
          BudgetId.of(in.text()),
          RequestClassId.of(in.text()),
          UpstreamId.of(in.text()),
          in.name(Urgency.class),
          in.number(),
          in.number(),
          in.number(),
          in.flag(),
          in.text(),
          in.flag(),
          readCall(in),
          in.text());
    }
  },
  ANSWER_HEAD(6, 4, Message.AnswerHead.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerHead head = (Message.AnswerHead) message;
      out.attempt(head.attempt()).number(head.status()).headers(head.headers());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerHead(in.attempt(), in.smallNumber(), in.headers());
    }
  },
  ANSWER_CHUNK(7, 4, Message.AnswerChunk.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerChunk chunk = (Message.AnswerChunk) message;
      out.attempt(chunk.attempt()).number(chunk.sequence()).bytes(chunk.data());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerChunk(in.attempt(), in.number(), in.bytes());
    }
  },
  ANSWER_END(8, 8, Message.AnswerEnd.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerEnd end = (Message.AnswerEnd) message;
      out.attempt(end.attempt()).number(end.count()).flag(end.complete());
      out.number(end.promptTokens()).number(end.outputTokens());
      out.name(end.error()).text(end.message());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerEnd(
          in.attempt(),
          in.number(),
          in.flag(),
          in.number(),
          in.number(),
          in.optionalName(ErrorCode.class),
          in.text());
    }
  },
  REFUSED(9, 6, Message.Refused.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Refused refused = (Message.Refused) message;
      out.attempt(refused.attempt()).name(refused.code()).text(refused.message());
      out.name(refused.runState()).number(refused.retryAfterMillis());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Refused(
          in.attempt(), in.name(ErrorCode.class), in.text(), in.name(RunState.class), in.number());
    }
  },
  ANSWER_ACK(10, 3, Message.AnswerAck.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.AnswerAck ack = (Message.AnswerAck) message;
      out.attempt(ack.attempt()).number(ack.nextSequence());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.AnswerAck(in.attempt(), in.number());
    }
  },
  CANCEL(11, 2, Message.Cancel.class) {
    @Override
    void write(FieldWriter out, Message message) {
      out.attempt(((Message.Cancel) message).attempt());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Cancel(in.attempt());
    }
  },
  ATTACH(12, 3, Message.Attach.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.Attach attach = (Message.Attach) message;
      out.attempt(attach.attempt()).number(attach.fromSequence());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.Attach(in.attempt(), in.number());
    }
  },
  CALL_QUERY(13, 6, Message.CallQuery.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.CallQuery query = (Message.CallQuery) message;
      out.number(query.queryId()).key(query.key()).optionalAttempt(query.attempt());
      out.flag(query.plantTombstone());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.CallQuery(in.number(), in.key(), in.optionalAttempt(), in.flag());
    }
  },
  CALL_STATUS(14, 4, Message.CallStatus.class) {
    @Override
    void write(FieldWriter out, Message message) {
      Message.CallStatus status = (Message.CallStatus) message;
      out.number(status.queryId()).name(status.state()).optionalAttempt(status.attempt());
    }

    @Override
    Message read(FieldReader in) throws IOException {
      return new Message.CallStatus(in.number(), in.name(CallState.class), in.optionalAttempt());
    }
  };

  private static final Map<Class<? extends Message>, MessageType> BY_CLASS =
      Arrays.stream(values()).collect(Collectors.toMap(t -> t.messageClass, Function.identity()));
  private static final Map<Integer, MessageType> BY_NUMBER =
      Arrays.stream(values()).collect(Collectors.toMap(t -> t.number, Function.identity()));

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

  private static void writeCall(FieldWriter out, HttpCall call) {
    out.text(call.method()).text(call.path()).headers(call.headers()).bytes(call.body());
  }

  private static HttpCall readCall(FieldReader in) throws IOException {
    return new HttpCall(in.text(), in.text(), in.headers(), in.bytes());
  }
}
