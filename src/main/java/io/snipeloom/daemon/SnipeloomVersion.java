package io.snipeloom.daemon;

import picocli.CommandLine.IVersionProvider;

/** Tells the version that the jar was built as. */
final class SnipeloomVersion implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = SnipeloomVersion.class.getPackage().getImplementationVersion();
    return new String[] {"snipeloom " + (version == null ? "(not from a jar)" : version)};
  }
}
