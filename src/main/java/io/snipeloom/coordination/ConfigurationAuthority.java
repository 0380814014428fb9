package io.snipeloom.coordination;

import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.PublishResult;
import java.util.concurrent.CompletionStage;

/**
 * Gives the configuration in force and takes changes of it.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface ConfigurationAuthority {

  /**
   * Returns the configuration in force at this instance.
   *
   * @return the document; its offset never falls
   */
  ConfigurationDocument current();

  /**
   * Publishes a change.
   *
   * @param change the change
   * @return whether the change was accepted, once its place in the log is known; a failure with
   *     {@link io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} leaves it open
   */
  CompletionStage<PublishResult> publish(ConfigurationChange change);
}
