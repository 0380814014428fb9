package io.snipeloom.state;

/** The value of an entry of the configuration document. */
public sealed interface ConfigurationEntry permits Customer, Budget, TopUp, Upstream, RequestClass {

  /**
   * Returns the section in which the entry stands.
   *
   * @return the section
   */
  ConfigurationSection section();

  /**
   * Returns the identifier, which is unique within the section.
   *
   * @return the text form of the identifier
   */
  String entryId();
}
