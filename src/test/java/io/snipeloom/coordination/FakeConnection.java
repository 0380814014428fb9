package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.Incarnation;
import io.snipeloom.transport.FrameConnection;
import java.util.ArrayList;
import java.util.List;

/** A connection that records the messages sent on it. */
final class FakeConnection implements FrameConnection {
  final List<Message> sent = new ArrayList<>();
  boolean writable = true;
  boolean closed;

  @Override
  public Incarnation peer() {
    return io.snipeloom.protocol.Messages.ROUTER;
  }

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public void send(Message message) {
    sent.add(message);
  }

  @Override
  public void close(String reason) {
    closed = true;
  }

  <M extends Message> List<M> sent(Class<M> type) {
    return sent.stream().filter(type::isInstance).map(type::cast).toList();
  }

  Message last() {
    return sent.get(sent.size() - 1);
  }
}
