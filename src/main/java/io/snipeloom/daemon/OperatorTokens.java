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
 * The operators known to an instance, each with the SHA-256 of a bearer token. Immutable and
 * thread-safe.
 *
 * <p>A token is compared with every stored hash in constant time, so that the time taken reveals
 * nothing about the tokens.
 */
public final class OperatorTokens {
  private static final int HASH_BYTES = 32;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:#-]{0,95}");

  private final List<Credential> credentials;

  private OperatorTokens(List<Credential> credentials) {
    this.credentials = List.copyOf(credentials);
  }

  /** Returns the operators with the given credentials. */
  public static OperatorTokens of(List<Credential> credentials) {
    return new OperatorTokens(credentials);
  }

  /**
   * Returns the hash that is stored in place of a secret.
   *
   * @param secret an operator token or an API key
   * @return the SHA-256 in lower-case hexadecimal
   */
  public static String hash(String secret) {
    return HexFormat.of().formatHex(digest(secret));
  }

  /**
   * Returns the operator to whom a token belongs.
   *
   * @return the name of the operator; empty if the token is unknown
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

  /** Returns whether an operator with the given name is known. */
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
   * @param operator the name of the operator, as used in logs and records
   * @param tokenSha256 the SHA-256 of the token in hexadecimal
   */
  public record Credential(String operator, String tokenSha256) {

    /** Checks that the name can be used in records and that the hash is well-formed. */
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
