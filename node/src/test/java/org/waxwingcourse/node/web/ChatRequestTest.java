package org.waxwingcourse.node.web;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Any input is parsed or rejected with a reason; the parser never throws. */
class ChatRequestTest {
  private static final String VALID_BODY =
      "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

  @Property(seed = "7101", tries = 1000)
  void anyTextIsParsedOrRejectedWithReason(@ForAll("spoilt") String body) {
    ChatRequest.parse(body)
        .peek(chat -> assertThat(chat.body()).isEqualTo(body))
        .peekLeft(reason -> assertThat(reason).isNotBlank());
  }

  /** The valid body with a part replaced, and texts of characters that JSON uses. */
  @Provide
  Arbitrary<String> spoilt() {
    Arbitrary<String> noise =
        Arbitraries.strings().withChars("{}[]\":,0e-.\\u tfn\u0000\ud83d").ofMaxLength(40);
    Arbitrary<Integer> place = Arbitraries.integers().between(0, VALID_BODY.length());
    Arbitrary<String> replaced =
        net.jqwik.api.Combinators.combine(noise, place, place)
            .as(
                (replacement, start, end) ->
                    VALID_BODY.substring(0, Math.min(start, end))
                        + replacement
                        + VALID_BODY.substring(Math.max(start, end)));
    return Arbitraries.oneOf(noise, replaced);
  }
}
