package io.snipeloom.state;

import java.util.List;

/**
 * An upstream, which is a set of interchangeable back ends.
 *
 * @param models the models that the engines serve; empty for plain services; null is replaced by an
 *     empty list
 * @param checksFencing whether the engines themselves refuse orders with an old fencing number
 */
public record Upstream(
    UpstreamId id, UpstreamKind kind, List<ModelId> models, boolean checksFencing)
    implements ConfigurationEntry {

  /** Checks that the identifier is present and copies the models. */
  public Upstream {
    Entry.requirePresent("id", id);
    models = models == null ? List.of() : List.copyOf(models);
  }

  @Override
  public ConfigurationSection section() {
    return ConfigurationSection.UPSTREAMS;
  }

  @Override
  public String entryId() {
    return id.value();
  }
}
