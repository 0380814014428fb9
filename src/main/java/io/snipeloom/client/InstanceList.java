package io.snipeloom.client;

import java.util.List;

/** The platform's list of instances. It may lag behind the actual state. */
public interface InstanceList {

  /**
   * Returns the instances that the platform currently lists.
   *
   * @return the instances, in no particular order
   * @throws io.snipeloom.state.SnipeloomException if the list is unavailable
   */
  List<Instance> instances();
}
