package io.snipeloom.client;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.List;

/** An in-memory instance list for tests. Thread-safe. */
public final class FakeInstanceList implements InstanceList {
  private volatile List<Instance> instances = List.of();
  private volatile boolean down;

  /** Replaces the instances. */
  public void set(List<Instance> newInstances) {
    instances = List.copyOf(newInstances);
  }

  /** Sets whether every call fails. */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  @Override
  public List<Instance> instances() {
    if (down) {
      throw SnipeloomException.of(ErrorCode.CONNECTION_LOST, "no response")
          .withOrigin("instances.read", "fake");
    }
    return instances;
  }
}
