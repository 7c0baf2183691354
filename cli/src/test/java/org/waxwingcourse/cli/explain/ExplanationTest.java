package org.waxwingcourse.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.List;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ExplanationTest {
  private static final String SENT =
      "W803 request a1 goes on elsewhere or ends: engine e1: reset; last event none, run 1 of 2";
  private static final String ENDED =
      "W802 request a1 of o on r: engines e1,e2, waited 3 ms, first 80 ms, total 900 ms, 36 events,"
          + " version 4, coordinator edge-2: status 200";
  private static final String UNKNOWN =
      "W802 request a1 of o on r: engines e1, waited 3 ms, first none ms, total 90 ms, 0 events,"
          + " version 4, coordinator edge-2: Unknown[reason=engine e1: reset]";

  @Test
  void theClosingLineDecidesARequestThatWasServed() {
    assertThat(explain("a1", line(1, SENT), line(2, ENDED)).deciding().get().event())
        .isEqualTo(802);
  }

  @Test
  void whatTheEngineDidDecidesARequestThatWasBrokenOff() {
    assertThat(explain("a1", line(1, SENT), line(2, UNKNOWN)).deciding().get().event())
        .isEqualTo(803);
  }

  @Test
  void linesStandInOrderOfTimeAndThoseOfOtherRequestsAreLeftOut() {
    Explanation explanation =
        explain("a1", line(5, ENDED), line(2, SENT), line(1, SENT.replace("a1", "a11")));
    assertThat(explanation.own().map(LogLine::event)).containsExactly(803, 802);
  }

  @Test
  void whatIsBelievedOfTheEnginesAndHostsThatARequestMetIsShown() {
    String ejected = "W500 engine \"e1\" fails and gets no work until 2026-12-03T10:00:05Z";
    String other = "W500 engine \"e7\" fails and gets no work until 2026-12-03T10:00:05Z";
    Explanation explanation =
        Explanation.of(
            "a1",
            read("host.log", line(2, SENT), line(3, UNKNOWN))
                .appendAll(read("edge-2.log", line(1, ejected), line(1, other))));
    assertThat(explanation.around().map(LogLine::text).mkString())
        .contains("e1")
        .doesNotContain("e7");
  }

  @Test
  void linesThatNoHostWroteAreLeftOut() {
    assertThat(LogLine.parse("p", "# A fatal error has been detected")).isEmpty();
    assertThat(LogLine.parse("p", "{\"message\":\"plain\",\"at\":\"2026-12-03T10:00:00Z\"}"))
        .isEmpty();
    assertThat(LogLine.parse("p", "{\"message\":\"W802 x\",\"at\":\"yesterday\"}")).isEmpty();
  }

  /** Lines of a run on the users' bench in which a coordinator was lost and found again. */
  @Test
  void theCoordinatorsReasonDecidesARequestThatWasRefused() throws IOException {
    List<LogLine> lines =
        recorded("edge-delta-a-1.log").appendAll(recorded("storage-delta-a-1.log"));
    Explanation explanation = Explanation.of("d8ff724798f54458", lines);
    assertThat(explanation.own().map(LogLine::process))
        .containsExactly("storage-delta-a-1.log", "edge-delta-a-1.log");
    assertThat(explanation.deciding().get().text()).contains("15 requests wait before it");
    assertThat(explanation.around().map(LogLine::event)).contains(430);
  }

  private static List<LogLine> recorded(String file) throws IOException {
    try (InputStream in = ExplanationTest.class.getResourceAsStream("/explain/" + file)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return List.ofAll(text.lines()).flatMap(l -> LogLine.parse(file, l));
    }
  }

  private static Explanation explain(String id, String... lines) {
    return Explanation.of(id, read("host.log", lines));
  }

  private static List<LogLine> read(String process, String... lines) {
    return List.of(lines).flatMap(l -> LogLine.parse(process, l));
  }

  private static String line(int second, String message) {
    return "{\"at\":\"2026-12-03T10:00:0%d.000Z\",\"level\":\"INFO\",\"message\":\"%s\"}"
        .formatted(second, message.replace("\"", "\\\""));
  }
}
