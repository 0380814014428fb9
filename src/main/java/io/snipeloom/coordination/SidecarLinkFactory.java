package io.snipeloom.coordination;

import io.snipeloom.client.Instance;

/** Opens and closes links; implementations are thread-safe and do not block. */
public interface SidecarLinkFactory {

  /**
   * Opens a link, which connects and reconnects by itself until it is closed.
   *
   * @param instance the slot to connect to
   * @return the link
   */
  SidecarLink open(Instance instance);

  /**
   * Closes a link that this factory opened; its open attempts are lost.
   *
   * @param link the link
   */
  void close(SidecarLink link);
}
