package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class EdgeCommandTest {
  @TempDir private Path directory;
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  @Test
  void reportsTheVersionOfValidConfiguration() throws IOException {
    int code = run("{\"version\":7,\"routes\":[],\"services\":[]}");
    assertThat(code, is(0));
    assertThat(out.toString(), containsString("configuration version 7 is valid"));
  }

  @Test
  void rejectsAnInvalidConfigurationWithTheReason() throws IOException {
    int code = run("{\"version\":7,\"routes\":[{}],\"services\":[]}");
    assertThat(code, is(1));
    assertThat(err.toString(), containsString("field name is missing"));
  }

  @Test
  void requiresSettingsOrConfiguration() {
    assertThat(command().execute("edge"), is(2));
  }

  private int run(String document) throws IOException {
    Path file = directory.resolve("configuration.json");
    Files.writeString(file, document);
    return command().execute("edge", "--configuration", file.toString());
  }

  private CommandLine command() {
    return SnipeloomCommand.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
  }
}
