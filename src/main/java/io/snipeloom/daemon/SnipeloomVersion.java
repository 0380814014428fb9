package io.snipeloom.daemon;

import picocli.CommandLine.IVersionProvider;

/** Supplies the version given in the manifest of the jar. */
final class SnipeloomVersion implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = SnipeloomVersion.class.getPackage().getImplementationVersion();
    return new String[] {"snipeloom " + (version == null ? "(not from a jar)" : version)};
  }
}
