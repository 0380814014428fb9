package io.snipeloom.client;

import java.util.List;

/** The lagging list of instances that the platform keeps. */
public interface InstanceList {

  /**
   * Returns the instances as the platform last saw them.
   *
   * @return the instances, in no particular order
   * @throws io.snipeloom.state.SnipeloomException if the list did not answer
   */
  List<Instance> instances();
}
