package io.snipeloom.platform;

/** Topics of the platform's store that Snipeloom only reads. */
public final class PlatformTopics {
  /** The topic of the configuration, written by operators. */
  public static final String CONFIGURATION = "op";

  /** The key of the configuration document in {@link #CONFIGURATION}. */
  public static final String CONFIGURATION_KEY = "config";

  /**
   * The prefix of the keys in {@link #CONFIGURATION} that name an availability zone to evacuate.
   */
  public static final String EVACUATION_PREFIX = "evacuate/";

  /** The topic in which each replica registers, one entry per replica. */
  public static final String REPLICAS = "servers";

  private PlatformTopics() {}
}
