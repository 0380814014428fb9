package io.snipeloom.coordination;

import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.PublishResult;
import java.util.concurrent.CompletionStage;

/**
 * Provides the configuration in force and publishes changes to it.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface ConfigurationAuthority {

  /**
   * Returns the configuration that this instance currently applies.
   *
   * @return the document; its offset never decreases between calls
   */
  ConfigurationDocument current();

  /**
   * Publishes a change.
   *
   * @param change the edits and the offset that they are based on
   * @return whether the change was accepted, once it was read back from the log; after a failure
   *     with {@link io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} it is unknown whether the change
   *     was or will be accepted
   */
  CompletionStage<PublishResult> publish(ConfigurationChange change);
}
