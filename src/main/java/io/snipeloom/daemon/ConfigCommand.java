package io.snipeloom.daemon;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.snipeloom.state.ConfigurationDiff;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationForm;
import io.snipeloom.state.ConfigurationJson;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows, checks, compares and publishes the configuration document. */
@Command(
    name = "config",
    description = "Shows, checks, compares and publishes the configuration document.",
    mixinStandardHelpOptions = true)
final class ConfigCommand implements Runnable {
  private static final String PATH = "/admin/v1/configuration";
  private static final String OFFLINE_OPERATOR = "offline";
  private static final long MAX_FILE_BYTES = 8L << 20;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is required");
  }

  @Command(
      name = "show",
      description =
          "Prints the document in force; its offset, which publish needs as --base, goes to the"
              + " standard error stream.",
      mixinStandardHelpOptions = true)
  int show(@Mixin AdminOptions options) {
    try (AdminClient client = options.client()) {
      HttpResponse<byte[]> response = client.get(PATH);
      out().println(text(response.body()));
      err().println("offset=" + offset(response));
      return finish();
    }
  }

  @Command(
      name = "validate",
      description = "Checks a document against the schema and the rules; nothing is published.",
      mixinStandardHelpOptions = true)
  int validate(
      @Mixin AdminOptions options,
      @Option(
              names = "--offline",
              description = "check the document by itself, without asking an instance")
          boolean offline,
      @Parameters(paramLabel = "FILE", description = "the document") Path file) {
    byte[] json = read(file);
    ConfigurationForm form = ConfigurationJson.parseDocument(json);
    if (offline) {
      ConfigurationDocument empty = ConfigurationDocument.empty();
      ConfigurationDiff.between(empty, empty.offset(), form).check(empty, OFFLINE_OPERATOR);
    } else {
      try (AdminClient client = options.client()) {
        client.post(PATH + "/validate", json);
      }
    }
    out().println("valid");
    return finish();
  }

  @Command(
      name = "diff",
      description = "Prints the edits between the document in force and a file.",
      mixinStandardHelpOptions = true)
  int diff(
      @Mixin AdminOptions options,
      @Parameters(paramLabel = "FILE", description = "the document") Path file) {
    try (AdminClient client = options.client()) {
      out().println(text(client.post(PATH + "/diff", read(file)).body()));
      return finish();
    }
  }

  @Command(
      name = "publish",
      description = "Publishes a document, or a list of edits, as one change.",
      mixinStandardHelpOptions = true)
  int publish(
      @Mixin AdminOptions options,
      @Option(
              names = "--base",
              paramLabel = "OFFSET",
              description = "offset of the document that FILE was made from; -1 for the first")
          Long base,
      @Option(
              names = "--edits",
              description = "FILE holds a change with baseOffset and edits, not a document")
          boolean edits,
      @Parameters(paramLabel = "FILE", description = "the document or the change") Path file) {
    if (edits == (base != null)) {
      throw new ParameterException(
          spec.subcommands().get("publish"), "give either --base OFFSET or --edits");
    }
    try (AdminClient client = options.client()) {
      HttpResponse<byte[]> response =
          edits ? client.post(PATH + "/changes", read(file)) : client.post(PATH, read(file), base);
      out().println("published offset=" + offset(response));
      return finish();
    }
  }

  private static byte[] read(Path file) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw SnipeloomException.of(
            ErrorCode.BODY_TOO_LARGE, "%s has more than %d bytes".formatted(file, MAX_FILE_BYTES));
      }
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw SnipeloomException.of(ErrorCode.INVALID_REQUEST, "cannot read " + file).withCause(e);
    }
  }

  private static String offset(HttpResponse<?> response) {
    return response.getHeaders().get(HttpHeaders.ETAG, String.class).orElse("").replace("\"", "");
  }

  private static String text(byte[] json) {
    return new String(json, StandardCharsets.UTF_8);
  }

  private int finish() {
    out().flush();
    err().flush();
    return ExitCode.OK.value();
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }
}
