package io.snipeloom.coordination;

import io.snipeloom.client.Instance;

/** Opens and closes links. Implementations are thread-safe and do not block. */
public interface SidecarLinkFactory {

  /**
   * Opens a link, which connects and reconnects automatically until it is closed.
   *
   * @param instance the slot to connect to
   * @return the link
   */
  SidecarLink open(Instance instance);

  /** Closes a link that this factory opened. Its open attempts are reported as lost. */
  void close(SidecarLink link);
}
