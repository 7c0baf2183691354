package org.waxwingcourse.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServerSentEventParserTest {
  private static final String STREAM =
      "id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: cut o";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 100})
  void parsesCompleteEventsForAnyChunkSize(int chunkSize) {
    ServerSentEventParser parser = new ServerSentEventParser();
    List<ServerSentEventParser.ServerSentEvent> events = new ArrayList<>();
    for (int i = 0; i < STREAM.length(); i += chunkSize) {
      events.addAll(
          parser.parse(bytes(STREAM.substring(i, Math.min(STREAM.length(), i + chunkSize)))));
    }
    assertThat(events)
        .extracting(ServerSentEventParser.ServerSentEvent::id)
        .containsExactly(1L, 2L);
    assertThat(events)
        .extracting(ServerSentEventParser.ServerSentEvent::data)
        .containsExactly("a", "b\nc");
    assertThat(new String(parser.unparsedBytes(), StandardCharsets.UTF_8))
        .isEqualTo("id: 3\ndata: cut o");
  }

  @ParameterizedTest
  @CsvSource({"'id: 5\r\ndata: x\r\n\r\n', 5, x", "'data:y\n\n', -1, y", "'id: z\n\n', -1, ''"})
  void parsesOtherLineEndingsAndMissingFields(String text, long id, String data) {
    List<ServerSentEventParser.ServerSentEvent> events =
        new ServerSentEventParser().parse(bytes(text));
    assertThat(events).hasSize(1);
    assertThat(events.get(0).id()).isEqualTo(id);
    assertThat(events.get(0).data()).isEqualTo(data);
    assertThat(events.get(0).bytes()).isEqualTo(bytes(text));
  }
}
