package io.snipeloom.daemon;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The options shared by all commands that call the administration API. */
final class AdminOptions {
  private static final String TOKEN_VARIABLE = "SNIPELOOM_TOKEN";

  @Option(
      names = "--admin",
      paramLabel = "URL",
      defaultValue = "${env:SNIPELOOM_ADMIN:-http://127.0.0.1:8081}",
      description =
          "address of the administration API (default: SNIPELOOM_ADMIN, else ${DEFAULT-VALUE})")
  private URI admin;

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      defaultValue = "${env:SNIPELOOM_TOKEN_FILE}",
      description =
          "file that holds the operator's token (default: SNIPELOOM_TOKEN_FILE; without it the"
              + " token itself is taken from SNIPELOOM_TOKEN)")
  private Path tokenFile;

  AdminClient client() {
    return AdminClient.of(admin, token());
  }

  private String token() {
    String token = tokenFile == null ? System.getenv(TOKEN_VARIABLE) : read(tokenFile);
    if (token == null || token.isBlank()) {
      throw SnipeloomException.of(
          ErrorCode.UNAUTHENTICATED,
          "no operator token: give --token-file or set " + TOKEN_VARIABLE);
    }
    return token.strip();
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "cannot read " + file).withCause(e);
    }
  }
}
