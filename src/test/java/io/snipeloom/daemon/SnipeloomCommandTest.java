package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.snipeloom.state.CustomerId;
import io.snipeloom.transport.HttpHost;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class SnipeloomCommandTest {
  private final FakeFleet fleet = new FakeFleet();
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();
  @TempDir private Path directory;
  private HttpHost host;

  @BeforeEach
  void start() throws Exception {
    host = fleet.startHost();
    Files.writeString(directory.resolve("token"), FakeFleet.TOKEN + "\n");
  }

  @AfterEach
  void stop() {
    host.stop();
  }

  private int run(String... args) {
    out.getBuffer().setLength(0);
    err.getBuffer().setLength(0);
    CommandLine command = SnipeloomCommand.commandLine();
    command.setOut(new PrintWriter(out, true));
    command.setErr(new PrintWriter(err, true));
    return command.execute(args);
  }

  private int runWithAdmin(String... args) {
    List<String> arguments = new ArrayList<>(List.of(args));
    arguments.add("--admin=http://127.0.0.1:" + host.port());
    arguments.add("--token-file=" + directory.resolve("token"));
    return run(arguments.toArray(String[]::new));
  }

  private String writeFile(String name, String text) throws Exception {
    Path file = directory.resolve(name);
    Files.writeString(file, text.replace('\'', '"'));
    return file.toString();
  }

  @Test
  void showsValidatesComparesAndPublishesDocuments() throws Exception {
    assertThat(runWithAdmin("config", "show"), is(0));
    assertThat(err.toString(), containsString("offset=0"));
    String path = writeFile("document.json", out.toString().replace("Name of acme", "Acme"));
    assertThat(runWithAdmin("config", "validate", path), is(0));
    assertThat(runWithAdmin("config", "diff", path), is(0));
    assertThat(out.toString(), containsString("putCustomer"));
    assertThat(runWithAdmin("config", "publish", path, "--base=0"), is(0));
    assertThat(out.toString(), containsString("offset=1"));
    assertThat(fleet.authority.current().customer(CustomerId.of("acme")).get().name(), is("Acme"));
  }

  @Test
  void exitsWithOneOnConflictAndReportsIt() throws Exception {
    String path =
        writeFile(
            "change.json",
            "{'baseOffset':0,'edits':[{'edit':'putCustomer','customer':{'id':'acme'}}]}");
    assertThat(runWithAdmin("config", "publish", "--edits", path), is(0));
    assertThat(runWithAdmin("config", "publish", "--edits", path), is(1));
    assertThat(err.toString(), containsString("configuration.conflict"));
    assertThat(err.toString(), containsString("/edits/0"));
  }

  @Test
  void reportsViolationsOfDocumentByPointer() throws Exception {
    String path = writeFile("bad.json", "{'customers':[{'id':'a','colour':1}]}");
    assertThat(run("config", "validate", "--offline", path), is(1));
    assertThat(err.toString(), containsString("/customers/0/colour"));
    assertThat(err.toString(), containsString("/budgets"));
  }

  @Test
  void exitsWithTwoOnUsageErrorsAndThreeWhenUnreachable() throws Exception {
    assertThat(run("config"), is(2));
    assertThat(run("teapot"), is(2));
    String path = writeFile("change.json", "{}");
    assertThat(runWithAdmin("config", "publish", path), is(2));
    int port = host.port();
    host.stop();
    assertThat(
        run(
            "status",
            "--admin=http://127.0.0.1:" + port,
            "--token-file=" + directory.resolve("token")),
        is(3));
    assertThat(err.toString(), containsString("connection.lost"));
    host = fleet.startHost();
  }

  @Test
  void doesNotPrintTheToken() throws Exception {
    Files.writeString(directory.resolve("token"), "wrong-secret");
    assertThat(runWithAdmin("status"), is(1));
    assertThat(err.toString(), containsString("unauthenticated"));
    assertThat(err.toString() + out, not(containsString("wrong-secret")));
  }

  @Test
  void showsBudgetsAndStatus() {
    assertThat(runWithAdmin("budget", "show"), is(0));
    assertThat(out.toString(), containsString("pool=900 held=70 consumed=30"));
    assertThat(runWithAdmin("budget", "show", "acme-main"), is(0));
    assertThat(runWithAdmin("budget", "show", "none"), is(1));
    assertThat(runWithAdmin("status"), is(0));
    assertThat(out.toString(), containsString("ready=true"));
  }

  @Test
  void exportsTheLedger() {
    assertThat(runWithAdmin("ledger", "export"), is(0));
    assertThat(out.toString(), containsString("1,1,acme,\"two\",acme-main,draft,20,1000"));
  }

  @Test
  void auditReportsWrongTotalsRepeatedBillsAndMisplacedLines() {
    assertThat(runWithAdmin("ledger", "audit"), is(0));
    assertThat(out.toString(), containsString("lines=2 tokens=30 faults=0"));
    fleet.billLines.set(1, FakeFleet.billLine(1, "two", 21));
    assertThat(runWithAdmin("ledger", "audit"), is(1));
    assertThat(out.toString(), containsString("lines make 31 but the balance says 30 billed"));
    fleet.billLines.set(1, FakeFleet.billLine(1, "one", 20));
    assertThat(runWithAdmin("ledger", "audit"), is(1));
    assertThat(out.toString(), containsString("bills request one of acme again"));
    fleet.billLines.set(1, FakeFleet.billLine(2, "two", 20));
    assertThat(runWithAdmin("ledger", "audit"), is(1));
    assertThat(out.toString(), containsString("line 2 stands where line 1 was expected"));
  }

  @Test
  void printsHelpVersionAndCompletionScript() {
    assertThat(run("--help"), is(0));
    assertThat(out.toString(), containsString("Exit codes:"));
    assertThat(run("--version"), is(0));
    assertThat(run("completion"), is(0));
    assertThat(out.toString(), containsString("complete -F"));
  }
}
