package org.waxwingcourse.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** A stream has the same events and the same end in whichever pieces its bytes arrive. */
class EventSplitPropertyTest {
  private static final EngineAnswer CLOSE_DELIMITED =
      new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, true, false);

  /** What a stream was read as. */
  private record Reading(String events, byte[] bytes, String end) {}

  private static Reading read(byte[] stream, List<Integer> pieces) {
    ServerSentEventParser parser = new ServerSentEventParser();
    StringBuilder events = new StringBuilder();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int from = 0;
    for (int i = 0; from < stream.length; i++) {
      int size = pieces.isEmpty() ? stream.length : pieces.get(i % pieces.size());
      int to = Math.min(stream.length, from + size);
      for (var event : parser.parse(Arrays.copyOfRange(stream, from, to))) {
        events.append(event.id()).append('=').append(event.data()).append(';');
        bytes.writeBytes(event.bytes());
      }
      from = to;
    }
    String end = parser.malformation() + " " + StreamEnd.findBreak(CLOSE_DELIMITED, parser);
    bytes.writeBytes(parser.unparsedBytes());
    return new Reading(events.toString(), bytes.toByteArray(), end);
  }

  @Provide
  Arbitrary<byte[]> streams() {
    return Arbitraries.oneOf(
            Arbitraries.of(
                "id: 1\ndata: a\n\n",
                "x-weight-versions: 3\r\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n",
                ": comment\n\n",
                "data: ",
                "id: 7",
                "\n",
                "\r",
                "\r\n",
                "noise\u0000\u00ff\n\n",
                "HTTP/1.1 200 OK\r\n\r\n"),
            Arbitraries.integers().between(1, 70_000).map("y"::repeat),
            Arbitraries.integers().between(1, 70_000).map("\n"::repeat))
        .list()
        .ofMaxSize(12)
        .map(parts -> String.join("", parts).getBytes(StandardCharsets.ISO_8859_1));
  }

  @Provide
  Arbitrary<List<Integer>> pieces() {
    return Arbitraries.oneOf(
            Arbitraries.integers().between(1, 5), Arbitraries.integers().between(1, 70_000))
        .list()
        .ofMinSize(1)
        .ofMaxSize(10);
  }

  @Property(tries = 1000)
  void eventsDoNotDependOnThePiecesInWhichTheyArrive(
      @ForAll("streams") byte[] stream, @ForAll("pieces") List<Integer> pieces) {
    Reading whole = read(stream, List.of());
    Reading split = read(stream, pieces);
    assertThat(split.events()).isEqualTo(whole.events());
    assertThat(split.end()).isEqualTo(whole.end());
    assertThat(split.bytes()).isEqualTo(whole.bytes());
    assertThat(whole.bytes()).isEqualTo(Arrays.copyOf(stream, whole.bytes().length));
  }
}
