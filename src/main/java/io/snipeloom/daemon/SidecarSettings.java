package io.snipeloom.daemon;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.state.Zone;
import java.nio.file.Path;

/**
 * The settings of a sidecar.
 *
 * @param instance the slot of this instance
 * @param zone its availability zone
 * @param upstream the upstream that its back end belongs to
 * @param kind the kind of its back end
 * @param backEnd the base address of its back end
 * @param listen where routers connect
 * @param operations where health, readiness and metrics are served
 * @param log the log service
 * @param sharedKey the secret that proves membership of the fleet
 * @param capacity the attempts that run at once, unless the back end states its capacity
 * @param queueLimit the attempts that wait
 * @param drainSeconds how long open work is waited for at a stop
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
   * Reads settings.
   *
   * @param file the JSON file
   * @return the settings
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#INVALID_SETTINGS} that names each wrong place
   */
  public static SidecarSettings parse(Path file) {
    return SettingsLoader.load(file, SidecarSettings.class, SCHEMA);
  }
}
