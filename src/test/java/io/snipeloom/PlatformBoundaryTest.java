package io.snipeloom;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PlatformBoundaryTest {
  private static final Path SOURCES = Path.of("src/main/java/io/snipeloom");
  private static final Path PLATFORM_PACKAGE = SOURCES.resolve("platform");

  /** Matches names that the users' platform uses on the wire. */
  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "Snipeloom-(Attempt|Expect|Deadline|Credential|Tenant|Prompt|Token|Replica|Request|Not)"
              + "|/api/log-|log-(append|newest|read)|keyed\\.|Last-Event-Id|trafficSplit"
              + "|kvCapacityTokens|targetLatencyMs");

  @Test
  void onlyPlatformPackageUsesPlatformNames() throws IOException {
    assertThat(filesWithPlatformNames(false), empty());
  }

  @Test
  void searchFindsNamesInPlatformPackage() throws IOException {
    assertThat(filesWithPlatformNames(true), not(empty()));
  }

  private static List<Path> filesWithPlatformNames(boolean inPlatformPackage) throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .filter(file -> file.startsWith(PLATFORM_PACKAGE) == inPlatformPackage)
          .filter(PlatformBoundaryTest::containsPlatformName)
          .toList();
    }
  }

  private static boolean containsPlatformName(Path file) {
    try {
      return PLATFORM_NAMES.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
