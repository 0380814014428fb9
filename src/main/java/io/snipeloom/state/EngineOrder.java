package io.snipeloom.state;

/**
 * An order to a model engine.
 *
 * @param action the action to carry out
 * @param subject the model, adapter, version or role that the action concerns
 */
public record EngineOrder(Action action, String subject) {

  /** The actions that an engine can carry out. */
  public enum Action {
    LOAD_MODEL,
    LOAD_ADAPTER,
    LOAD_VERSION,
    CHANGE_ROLE
  }
}
