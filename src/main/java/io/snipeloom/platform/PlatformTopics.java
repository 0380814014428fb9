package io.snipeloom.platform;

/** The topics of the platform's store that others write. */
public final class PlatformTopics {
  /** Holds the operators' configuration. */
  public static final String CONFIGURATION = "op";

  /** The key of the configuration in its topic. */
  public static final String CONFIGURATION_KEY = "config";

  /** Holds an entry for each replica. */
  public static final String REPLICAS = "servers";

  private PlatformTopics() {}
}
