package io.snipeloom.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The operators of an instance, each with the SHA-256 of a bearer token. Immutable and thread-safe.
 *
 * <p>Checking compares with every stored hash in constant time, so that the time taken tells
 * nothing about a token.
 */
public final class OperatorTokens {
  private static final int HASH_BYTES = 32;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:#-]{0,95}");

  private final List<Credential> credentials;

  private OperatorTokens(List<Credential> credentials) {
    this.credentials = List.copyOf(credentials);
  }

  /**
   * Returns the operators with these credentials.
   *
   * @param credentials the credentials
   * @return the operators
   */
  public static OperatorTokens of(List<Credential> credentials) {
    return new OperatorTokens(credentials);
  }

  /**
   * Returns the hash under which a secret is stored.
   *
   * @param secret the token or API key
   * @return the SHA-256 in lower-case hexadecimal
   */
  public static String hash(String secret) {
    return HexFormat.of().formatHex(digest(secret));
  }

  /**
   * Returns the operator who holds a token.
   *
   * @param token the token
   * @return the operator; empty if nobody holds the token
   */
  public Optional<String> operator(String token) {
    byte[] digest = digest(token);
    Optional<String> found = Optional.empty();
    for (Credential credential : credentials) {
      boolean matches =
          MessageDigest.isEqual(digest, HexFormat.of().parseHex(credential.tokenSha256()));
      found = matches ? Optional.of(credential.operator()) : found;
    }
    return found;
  }

  /**
   * Returns whether somebody is an operator.
   *
   * @param operator the name of the operator
   * @return true if the operator is known
   */
  public boolean isOperator(String operator) {
    return credentials.stream().anyMatch(credential -> credential.operator().equals(operator));
  }

  private static byte[] digest(String secret) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * An operator with the hash of a token.
   *
   * @param operator the operator, as it stands in logs and records
   * @param tokenSha256 the SHA-256 of the token, in hexadecimal
   */
  public record Credential(String operator, String tokenSha256) {

    /** Checks the name, which must be fit for records, and the hash. */
    public Credential {
      if (operator == null || !NAME.matcher(operator).matches()) {
        throw SnipeloomException.of(
            ErrorCode.INVALID_SETTINGS,
            "the name of an operator must match %s but was %s".formatted(NAME, operator));
      }
      if (tokenSha256 == null || !tokenSha256.matches("[0-9a-fA-F]{" + 2 * HASH_BYTES + "}")) {
        throw SnipeloomException.of(
            ErrorCode.INVALID_SETTINGS,
            "the tokenSha256 of operator %s must be a SHA-256 in hexadecimal".formatted(operator));
      }
    }
  }
}
