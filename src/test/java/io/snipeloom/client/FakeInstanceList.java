package io.snipeloom.client;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.List;

/** An instance list for tests, set by hand. Thread-safe. */
public final class FakeInstanceList implements InstanceList {
  private volatile List<Instance> instances = List.of();
  private volatile boolean down;

  /** Replaces the instances. */
  public void set(List<Instance> newInstances) {
    instances = List.copyOf(newInstances);
  }

  /** Makes every call fail, or no longer. */
  public void setDown(boolean isDown) {
    down = isDown;
  }

  @Override
  public List<Instance> instances() {
    if (down) {
      throw SnipeloomException.of(ErrorCode.CONNECTION_LOST, "no answer")
          .withOrigin("instances.read", "fake");
    }
    return instances;
  }
}
