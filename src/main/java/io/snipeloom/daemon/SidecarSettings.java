package io.snipeloom.daemon;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.state.Zone;
import java.nio.file.Path;

/**
 * The settings of a sidecar.
 *
 * @param instance the instance id, which stays the same when the instance restarts
 * @param zone the availability zone of the instance
 * @param upstream the upstream that the back end belongs to
 * @param kind the kind of the back end
 * @param backEnd the base URL of the back end
 * @param listen the address and port for routers
 * @param operations the address and port for health, readiness and metrics
 * @param log the log service
 * @param sharedKey the secret by which members of the fleet authenticate each other
 * @param capacity the maximum number of attempts that run at the same time, unless the back end
 *     reports its capacity
 * @param queueLimit the maximum number of attempts that wait
 * @param drainSeconds how long a shutdown waits for open work, in seconds
 */
public record SidecarSettings(
    InstanceId instance,
    Zone zone,
    UpstreamId upstream,
    UpstreamKind kind,
    String backEnd,
    ListenSettings listen,
    ListenSettings operations,
    LogSettings log,
    String sharedKey,
    int capacity,
    int queueLimit,
    int drainSeconds) {
  private static final String SCHEMA = "/schemas/sidecar-settings.json";

  /**
   * Reads and validates the settings.
   *
   * @param file the JSON file
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#INVALID_SETTINGS} and the location of each error
   */
  public static SidecarSettings parse(Path file) {
    return SettingsLoader.load(file, SidecarSettings.class, SCHEMA);
  }
}
