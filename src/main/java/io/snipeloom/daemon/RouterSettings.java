package io.snipeloom.daemon;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.Zone;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.List;

/**
 * The settings of a router.
 *
 * @param instance the instance id, which stays the same when the instance restarts
 * @param zone the availability zone of the instance
 * @param callers the address and port for callers
 * @param admin the address and port for operators
 * @param operations the address and port for health, readiness and metrics
 * @param log the log service
 * @param instanceList the base URL of the instance list
 * @param sharedKey the secret by which members of the fleet authenticate each other
 * @param operators the operators of the administration API and the console
 * @param consoleKey the secret with which console sessions are signed, the same for all routers
 * @param secureCookies whether operators reach the console over HTTPS
 * @param drainSeconds how long a shutdown waits for open requests, in seconds
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
    boolean secureCookies,
    int drainSeconds) {
  private static final String SCHEMA = "/schemas/router-settings.json";

  /** Makes a defensive copy of the operators. */
  public RouterSettings {
    operators = List.copyOf(operators);
  }

  /**
   * Reads and validates the settings.
   *
   * @param file the JSON file
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#INVALID_SETTINGS} and the location of each error
   */
  public static RouterSettings parse(Path file) {
    return SettingsLoader.load(file, RouterSettings.class, SCHEMA);
  }

  /** Returns the operators with the hashes of their tokens. */
  OperatorTokens operatorTokens() {
    return OperatorTokens.of(
        operators.stream()
            .map(found -> new OperatorTokens.Credential(found.name(), found.tokenHash()))
            .toList());
  }

  /** Creates the security of the console from the key in the settings. */
  ConsoleSecurity consoleSecurity(InstantSource clock) {
    return ConsoleSecurity.of(
        consoleKey.getBytes(StandardCharsets.UTF_8), secureCookies, clock, new SecureRandom());
  }
}
