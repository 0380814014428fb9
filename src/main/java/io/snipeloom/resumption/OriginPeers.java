package io.snipeloom.resumption;

import java.util.List;
import java.util.function.Consumer;

/** Asks the other instances which streams they know. */
public interface OriginPeers {
  /** No instance can be asked. */
  OriginPeers NONE = (attempts, listener) -> listener.accept(List.of());

  /**
   * Asks all instances that are known to be live.
   *
   * @param attempts the attempts that began the streams
   * @param listener receives the answers that came within a short time, once
   */
  void ask(List<String> attempts, Consumer<List<PeerAnswer>> listener);
}
