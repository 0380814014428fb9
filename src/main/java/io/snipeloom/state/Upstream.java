package io.snipeloom.state;

import java.util.List;

/**
 * An upstream: a set of interchangeable back ends.
 *
 * @param id the identifier
 * @param kind the kind of its back ends
 * @param models the models that its engines serve; empty for plain services
 * @param checksFencing whether its engines refuse an order with an old fencing number themselves
 */
public record Upstream(
    UpstreamId id, UpstreamKind kind, List<ModelId> models, boolean checksFencing)
    implements ConfigurationEntry {

  /** Copies the models. */
  public Upstream {
    Entry.required("id", id);
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
