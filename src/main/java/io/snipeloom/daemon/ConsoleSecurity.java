package io.snipeloom.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Creates and checks the signed session cookies and form tokens of the console. Sessions are not
 * stored: every entry instance with the same key accepts them. Immutable, and thread-safe if the
 * random generator is.
 */
public final class ConsoleSecurity {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_KEY_BYTES = 32;
  private static final int NONCE_BYTES = 16;
  private static final int SECRET_BYTES = 32;
  private static final int MAX_COOKIE_CHARACTERS = 1_024;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(30);
  private static final Duration MAX_SESSION_DURATION = Duration.ofHours(8);
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

  private final SecretKeySpec key;
  private final boolean secureCookies;
  private final InstantSource clock;
  private final RandomGenerator random;

  private ConsoleSecurity(
      SecretKeySpec key, boolean secureCookies, InstantSource clock, RandomGenerator random) {
    this.key = key;
    this.secureCookies = secureCookies;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Creates the security of the console.
   *
   * @param key the key shared by all entry instances, at least 32 bytes
   * @param secureCookies whether operators reach the console over HTTPS
   * @param clock the clock by which sessions expire
   * @param random a cryptographically strong random generator
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the key is too short
   */
  public static ConsoleSecurity of(
      byte[] key, boolean secureCookies, InstantSource clock, RandomGenerator random) {
    if (key.length < MIN_KEY_BYTES) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_SETTINGS,
          "the console key must have at least %d bytes".formatted(MIN_KEY_BYTES));
    }
    return new ConsoleSecurity(new SecretKeySpec(key, ALGORITHM), secureCookies, clock, random);
  }

  boolean secureCookies() {
    return secureCookies;
  }

  Duration idleTimeout() {
    return IDLE_TIMEOUT;
  }

  ConsoleSession start(String operator) {
    Instant now = clock.instant();
    return new ConsoleSession(operator, randomText(NONCE_BYTES), now, now.plus(IDLE_TIMEOUT));
  }

  ConsoleSession renewed(ConsoleSession session) {
    Instant end = clock.instant().plus(IDLE_TIMEOUT);
    Instant latestEnd = session.startedAt().plus(MAX_SESSION_DURATION);
    return new ConsoleSession(
        session.operator(),
        session.nonce(),
        session.startedAt(),
        end.isBefore(latestEnd) ? end : latestEnd);
  }

  String cookie(ConsoleSession session) {
    String text =
        String.join(
            "|",
            session.operator(),
            session.nonce(),
            Long.toString(session.startedAt().toEpochMilli()),
            Long.toString(session.expiresAt().toEpochMilli()));
    return ENCODER.encodeToString(text.getBytes(UTF_8)) + '.' + signature("session", text);
  }

  /** Returns the session in a cookie; empty if the cookie is forged, malformed or expired. */
  Optional<ConsoleSession> session(String cookie) {
    int dot = cookie.indexOf('.');
    if (dot < 0 || cookie.length() > MAX_COOKIE_CHARACTERS) {
      return Optional.empty();
    }
    try {
      String text = new String(Base64.getUrlDecoder().decode(cookie.substring(0, dot)), UTF_8);
      if (!isEqual(signature("session", text), cookie.substring(dot + 1))) {
        return Optional.empty();
      }
      return Optional.of(parse(text)).filter(this::isUnexpired);
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  private static ConsoleSession parse(String text) {
    String[] parts = text.split("\\|", -1);
    return new ConsoleSession(
        parts[0],
        parts[1],
        Instant.ofEpochMilli(Long.parseLong(parts[2])),
        Instant.ofEpochMilli(Long.parseLong(parts[3])));
  }

  private boolean isUnexpired(ConsoleSession session) {
    return clock.instant().isBefore(session.expiresAt());
  }

  String formToken(ConsoleSession session) {
    return signature("form", session.operator() + '|' + session.nonce());
  }

  void checkFormToken(ConsoleSession session, String token) {
    if (!isEqual(formToken(session), token)) {
      throw SnipeloomException.of(
              ErrorCode.FORBIDDEN, "the form does not come from this session; open it again")
          .withOrigin("console", "");
    }
  }

  String newApiKey() {
    return "sk-" + randomText(SECRET_BYTES);
  }

  private String randomText(int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private String signature(String purpose, String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return ENCODER.encodeToString(mac.doFinal((purpose + '|' + text).getBytes(UTF_8)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean isEqual(String expected, String actual) {
    return MessageDigest.isEqual(expected.getBytes(UTF_8), actual.getBytes(UTF_8));
  }
}
