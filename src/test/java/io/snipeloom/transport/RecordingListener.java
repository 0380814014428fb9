package io.snipeloom.transport;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records all events except writability changes. */
public final class RecordingListener implements FrameListener {
  public final List<FrameConnection> opened = new CopyOnWriteArrayList<>();
  public final List<Message> messages = new CopyOnWriteArrayList<>();
  public final List<SnipeloomException> closed = new CopyOnWriteArrayList<>();
  public final List<SnipeloomException> failed = new CopyOnWriteArrayList<>();

  @Override
  public void onOpened(FrameConnection connection) {
    opened.add(connection);
  }

  @Override
  public void onMessage(FrameConnection connection, Message message) {
    messages.add(message);
  }

  @Override
  public void onWritable(FrameConnection connection) {}

  @Override
  public void onClosed(FrameConnection connection, SnipeloomException reason) {
    closed.add(reason);
  }

  @Override
  public void onFailed(SnipeloomException reason) {
    failed.add(reason);
  }
}
