package io.snipeloom.daemon;

import io.snipeloom.state.ModelId;
import java.util.List;

/**
 * The list of models in the format of the chat completions protocol.
 *
 * @param object always {@code list}
 * @param data the models
 */
public record ModelList(String object, List<Model> data) {

  /** Makes a defensive copy of the models. */
  public ModelList {
    data = List.copyOf(data);
  }

  /** Returns the list of the given models. */
  static ModelList of(List<ModelId> models) {
    return new ModelList("list", models.stream().map(Model::of).toList());
  }

  /** A model; the creation time and owner are constants that clients expect to be present. */
  public record Model(String id, String object, long created, String ownedBy) {

    private static Model of(ModelId id) {
      return new Model(id.value(), "model", 0, "snipeloom");
    }
  }
}
