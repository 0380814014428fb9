package io.snipeloom.state;

/** An entry of the configuration document. */
public sealed interface ConfigurationEntry permits Customer, Budget, TopUp, Upstream, RequestClass {

  /** Returns the section to which the entry belongs. */
  ConfigurationSection section();

  /** Returns the text form of the identifier, which is unique within the section. */
  String entryId();
}
