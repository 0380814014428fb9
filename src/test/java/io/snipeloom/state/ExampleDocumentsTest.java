package io.snipeloom.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExampleDocumentsTest {
  private static ConfigurationDocument published(String name) throws Exception {
    ConfigurationForm form =
        ConfigurationJson.parseDocument(Files.readAllBytes(Path.of("examples", name + ".json")));
    ConfigurationDocument empty = ConfigurationDocument.empty();
    List<ConfigurationEdit> edits = ConfigurationDiff.between(empty, -1, form).edits();
    return empty.with(0, new ConfigurationChange(-1, "amina", edits));
  }

  @ParameterizedTest
  @ValueSource(strings = {"kilimanjaro-codeworks", "caves-ouvertes"})
  void areAcceptedAndEqualAfterRenderingAndParsing(String name) throws Exception {
    ConfigurationDocument document = published(name);
    ConfigurationForm parsed = ConfigurationJson.parseDocument(ConfigurationJson.render(document));
    assertThat(ConfigurationDiff.between(document, 0, parsed).edits(), is(List.of()));
  }

  @Test
  void markCallsThatAreNotIdempotent() throws Exception {
    ConfigurationDocument desk = published("kilimanjaro-codeworks");
    for (String id : List.of("vote", "shortlist-seal")) {
      assertThat(urgency(desk, id), is(Urgency.NOT_REPEATABLE));
    }
    ConfigurationDocument booking = published("caves-ouvertes");
    for (String id : List.of("confirmation", "deposit")) {
      assertThat(urgency(booking, id), is(Urgency.NOT_REPEATABLE));
    }
    assertThat(urgency(booking, "availability"), is(Urgency.LOOKUP));
  }

  private static Urgency urgency(ConfigurationDocument document, String id) {
    return document.requestClass(RequestClassId.of(id)).orElseThrow().urgency();
  }
}
