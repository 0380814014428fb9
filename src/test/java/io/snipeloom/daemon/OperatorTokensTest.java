package io.snipeloom.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.state.SnipeloomException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OperatorTokensTest {
  private static final String HASH = OperatorTokens.hash("token");

  @Test
  void identifiesTheOperatorOfEachToken() {
    OperatorTokens tokens =
        OperatorTokens.of(
            List.of(
                new OperatorTokens.Credential("amina", HASH),
                new OperatorTokens.Credential("baraka", OperatorTokens.hash("other"))));
    assertThat(tokens.operator("token"), is(Optional.of("amina")));
    assertThat(tokens.operator("other"), is(Optional.of("baraka")));
    assertThat(tokens.operator(HASH), is(Optional.empty()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "two words", "a|b", "-", "<b>"})
  void rejectsInvalidOperatorNames(String name) {
    assertThrows(SnipeloomException.class, () -> new OperatorTokens.Credential(name, HASH));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "token", "zz"})
  void rejectsMalformedHashes(String hash) {
    assertThrows(SnipeloomException.class, () -> new OperatorTokens.Credential("amina", hash));
  }
}
