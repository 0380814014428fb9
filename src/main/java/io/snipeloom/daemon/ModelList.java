package io.snipeloom.daemon;

import io.snipeloom.state.ModelId;
import java.util.List;

/**
 * The list of models in the form of the chat completions protocol.
 *
 * @param object always {@code list}
 * @param data the models
 */
public record ModelList(String object, List<Model> data) {

  /** Copies the models. */
  public ModelList {
    data = List.copyOf(data);
  }

  /**
   * Returns the list of these models.
   *
   * @param models the models
   * @return the list
   */
  static ModelList of(List<ModelId> models) {
    return new ModelList("list", models.stream().map(Model::of).toList());
  }

  /** A model; clients expect its time of creation and owner. */
  public record Model(String id, String object, long created, String ownedBy) {

    private static Model of(ModelId id) {
      return new Model(id.value(), "model", 0, "snipeloom");
    }
  }
}
