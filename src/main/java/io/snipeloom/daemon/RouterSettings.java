package io.snipeloom.daemon;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.Zone;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a router.
 *
 * @param instance the slot of this instance
 * @param zone its availability zone
 * @param callers where callers connect
 * @param admin where operators connect
 * @param operations where health, readiness and metrics are served
 * @param log the log service
 * @param instanceList the base address of the instance list
 * @param sharedKey the secret that proves membership of the fleet
 * @param operators the operators
 * @param consoleKey the secret that signs console sessions, equal at all routers
 * @param drainSeconds how long open requests are waited for at a stop
 */
public record RouterSettings(
    InstanceId instance,
    Zone zone,
    ListenSettings callers,
    ListenSettings admin,
    ListenSettings operations,
    LogSettings log,
    String instanceList,
    String sharedKey,
    List<OperatorSettings> operators,
    String consoleKey,
    int drainSeconds) {
  private static final String SCHEMA = "/schemas/router-settings.json";

  /** Copies the operators. */
  public RouterSettings {
    operators = List.copyOf(operators);
  }

  /**
   * Reads settings.
   *
   * @param file the JSON file
   * @return the settings
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#INVALID_SETTINGS} that names each wrong place
   */
  public static RouterSettings parse(Path file) {
    return SettingsLoader.load(file, RouterSettings.class, SCHEMA);
  }
}
