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
 * @param secureCookies whether operators reach the console over HTTPS
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
    boolean secureCookies,
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

  /**
   * Returns the operators with the hashes of their tokens.
   *
   * @return the operators
   */
  OperatorTokens operatorTokens() {
    return OperatorTokens.of(
        operators.stream()
            .map(found -> new OperatorTokens.Credential(found.name(), found.tokenHash()))
            .toList());
  }

  /**
   * Returns the security of the console.
   *
   * @param clock tells the time
   * @return the security
   */
  ConsoleSecurity consoleSecurity(InstantSource clock) {
    return ConsoleSecurity.of(
        consoleKey.getBytes(StandardCharsets.UTF_8), secureCookies, clock, new SecureRandom());
  }
}
