package org.waxwingcourse.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeadSyntaxTest {
  @ParameterizedTest
  @ValueSource(
      strings = {"", "X-A ", " X-A", "X-A\t", "X\rA", "X\nA", "X:A", "\u000bX-A", "X\u0000"})
  void nameThatCanBeReadAsAnotherIsNoHeader(String name) {
    assertThat(HeadSyntax.isHeader(name, "b")).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"b\r", "b\n", "b\r\nX-C: d", "b\rX-C: d", "b\u0000", "b\u000b"})
  void valueThatCanEndItsLineIsNoHeader(String value) {
    assertThat(HeadSyntax.isHeader("X-A", value)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "/a b", "/a\tb", "/a\r", "/a\n", "/a\u0000", "/a\u007f", " "})
  void targetThatCanEndItsLineIsNoTarget(String target) {
    assertThat(HeadSyntax.isTarget(target)).isFalse();
  }

  @Test
  void textThatAHeadCannotHoldIsInvalid() {
    assertThat(HeadSyntax.isHeader("X-A", "\u65e5")).isFalse();
    assertThat(HeadSyntax.isTarget("/\u65e5")).isFalse();
    assertThat(HeadSyntax.isTarget("/\u00e9")).isFalse();
    assertThat(HeadSyntax.isVisibleAscii("\u00e9")).isFalse();
  }

  @Test
  void usualHeadsAreValid() {
    assertThat(HeadSyntax.isHeader("X-Prompt_Parts.1", "5c1e:800, \"q\"; a=b\tc \u00e9")).isTrue();
    assertThat(HeadSyntax.isHeader("X-Empty", "")).isTrue();
    assertThat(HeadSyntax.isTarget("/a/b%20c?d=e&f=%C3%A9~:;@+[x]")).isTrue();
  }
}
