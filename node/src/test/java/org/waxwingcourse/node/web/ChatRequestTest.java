package org.waxwingcourse.node.web;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Whatever a caller sends is read or refused with a reason; nothing is thrown. */
class ChatRequestTest {
  private static final String GOOD =
      "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

  @Property(seed = "7101", tries = 1000)
  void anyTextIsReadOrRefusedWithAReason(@ForAll("spoilt") String body) {
    ChatRequest.parse(body)
        .peek(chat -> assertThat(chat.body()).isEqualTo(body))
        .peekLeft(reason -> assertThat(reason).isNotBlank());
  }

  /** The good body with a part replaced, and texts of JSON's own characters. */
  @Provide
  Arbitrary<String> spoilt() {
    Arbitrary<String> noise =
        Arbitraries.strings().withChars("{}[]\":,0e-.\\u tfn\u0000\ud83d").ofMaxLength(40);
    Arbitrary<Integer> place = Arbitraries.integers().between(0, GOOD.length());
    Arbitrary<String> replaced =
        net.jqwik.api.Combinators.combine(noise, place, place)
            .as(
                (text, a, b) ->
                    GOOD.substring(0, Math.min(a, b)) + text + GOOD.substring(Math.max(a, b)));
    return Arbitraries.oneOf(noise, replaced);
  }
}
