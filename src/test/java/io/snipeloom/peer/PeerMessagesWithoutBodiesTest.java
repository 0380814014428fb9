package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Tests that messages between instances have no place for the body of a request, which may not
 * leave the regions that the request allows.
 */
class PeerMessagesWithoutBodiesTest {
  /** What messages consist of: names, identifiers, numbers and lists of these. */
  private static final Set<String> ALLOWED =
      Set.of("String", "int", "long", "double", "boolean", "List");

  /** The texts in messages; each names something, and none is taken from a body. */
  private static final Set<String> ALLOWED_TEXTS =
      Set.of(
          "DemandReport.instance",
          "ReplicaId.value",
          "PromptPart.id",
          "CustomerId.value",
          "AskedRequests.kind",
          "OriginRecord.attempt",
          "StreamOrigin.service",
          "SoftwareVersion.value",
          "PeerAnswer.incarnation");

  private final Set<String> types = new TreeSet<>();
  private final Set<String> texts = new TreeSet<>();

  @Test
  void messagesConsistOfNamesAndNumbers() {
    collect(PeerMessage.class);
    assertThat("the messages were found", texts, hasItems("PromptPart.id", "CustomerId.value"));
    assertThat(types, everyItem(is(in(ALLOWED))));
    assertThat(texts, everyItem(is(in(ALLOWED_TEXTS))));
  }

  private void collect(Type type) {
    if (type instanceof ParameterizedType parameterized) {
      collect(parameterized.getRawType());
      for (Type argument : parameterized.getActualTypeArguments()) {
        collect(argument);
      }
      return;
    }
    Class<?> found = (Class<?>) type;
    if (found.isSealed()) {
      for (Class<?> permitted : found.getPermittedSubclasses()) {
        collect(permitted);
      }
    } else if (found.isRecord()) {
      for (RecordComponent component : found.getRecordComponents()) {
        if (component.getType() == String.class) {
          texts.add(found.getSimpleName() + "." + component.getName());
        }
        collect(component.getGenericType());
      }
    } else {
      types.add(found.getSimpleName());
    }
  }
}
