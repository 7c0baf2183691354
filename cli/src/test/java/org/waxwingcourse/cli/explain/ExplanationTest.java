package org.waxwingcourse.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.List;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ExplanationTest {
  private static final String FAILED_ATTEMPT =
      "W803 request a1 goes on elsewhere or ends: engine e1: reset; last event none, run 1 of 2";
  private static final String SUCCESSFUL_END =
      "W802 request a1 of o on r: engines e1,e2, waited 3 ms, first 80 ms, total 900 ms, 36 events,"
          + " version 4, coordinator edge-2: status 200";
  private static final String UNKNOWN_END =
      "W802 request a1 of o on r: engines e1, waited 3 ms, first none ms, total 90 ms, 0 events,"
          + " version 4, coordinator edge-2: Unknown[reason=engine e1: reset]";

  @Test
  void closingLineDecidesSuccessfulRequest() {
    assertThat(
            explainLines("a1", logLine(1, FAILED_ATTEMPT), logLine(2, SUCCESSFUL_END))
                .decidingLine()
                .get()
                .event())
        .isEqualTo(802);
  }

  @Test
  void engineFailureDecidesInterruptedRequest() {
    assertThat(
            explainLines("a1", logLine(1, FAILED_ATTEMPT), logLine(2, UNKNOWN_END))
                .decidingLine()
                .get()
                .event())
        .isEqualTo(803);
  }

  /** An item that came late is explained by what it waited for, not by its last engine. */
  @Test
  void latenessOfAnItemIsExplainedByItsWaitsAndYields() {
    String late =
        "W624 item i1 of job \"j1\" ended 2100 ms after it was due; waited 9300 ms for slots,"
            + " yielded 4, moved 1, failed 0 times";
    String moved = "W622 item i1 of job \"j1\" is moved from engine \"e1\": silent; last event 3";
    String accepted = "W610 job \"j1\" of \"o\" is accepted: 10 items, 5000 tokens";
    Explanation explanation =
        explainLines("i1", logLine(1, accepted), logLine(2, moved), logLine(3, late));
    assertThat(explanation.decidingLine().get().event()).isEqualTo(624);
    assertThat(explainLines("j1", logLine(1, accepted), logLine(3, late)).decidingLine().get())
        .matches(l -> l.event() == 624);
  }

  /** An item that nothing runs is explained by what it waits for, not by its last run. */
  @Test
  void itemThatWaitsIsExplainedByItsWait() {
    String moved = "W622 item i1 of job \"j1\" is moved from engine \"e1\": silent; last event 3";
    String waits =
        "W640 item i1 of job \"j1\" has had no run for 9000 ms: RECORD_READ, next step none;"
            + " last refusal none";
    String other = waits.replace("i1", "i11");
    Explanation explanation =
        explainLines("i1", logLine(1, moved), logLine(2, waits), logLine(3, other));
    assertThat(explanation.decidingLine().get().event()).isEqualTo(640);
    assertThat(explanation.ownLines().map(LogLine::event)).containsExactly(622, 640);
    String left =
        "W615 job \"j1\" no longer runs on this host: the job was closed; 0 of 10 results";
    assertThat(explainLines("j1", logLine(1, waits), logLine(2, left)).decidingLine().get())
        .matches(l -> l.event() == 615);
  }

  /** An engine's id of a run is that of an item: its line names the job and the connection. */
  @Test
  void runOfAnItemIsExplainedByItsJob() {
    String run =
        "W626 item i1 of job \"j1\": run on engine \"e1\" ends, WHOLE; connection 12.3, 900 ms,"
            + " 36 events, version 4";
    String accepted = "W610 job \"j1\" of \"o\" is accepted: 10 items, 5000 tokens";
    assertThat(explainLines("i1", logLine(1, accepted), logLine(2, run)).decidingLine().get())
        .matches(l -> l.event() == 626 && l.text().contains("job \"j1\""));
  }

  /** A job that ran as an online request has lines of both kinds under one id. */
  @Test
  void jobThatRanAsARequestHasTheLinesOfBoth() {
    String accepted = "W610 job \"a1\" of \"o\" is accepted: 10 items, 5000 tokens";
    assertThat(
            explainLines("a1", logLine(1, SUCCESSFUL_END), logLine(2, accepted))
                .ownLines()
                .map(LogLine::event))
        .containsExactly(802, 610);
  }

  /** The coordinator says why it refused; a request in a restart meets W436 or W430 before it. */
  @Test
  void refusalInARestartNamesTheReasonAndTheChangeOfCoordinator() {
    String refused =
        "W505 request a1 of host \"edge-2\" gets no slot: 3 requests wait before it for 8 slots;"
            + " back in 310 ms, part 0.2, load x";
    String suspected =
        "W436 coordinator \"edge-1\" is probed: host \"edge-2\" gets no answers from it";
    Explanation explanation =
        Explanation.of(
            "a1",
            parseLines("edge-2.log", logLine(2, refused))
                .appendAll(parseLines("edge-2.log", logLine(1, suspected))));
    assertThat(explanation.decidingLine().get().event()).isEqualTo(505);
    assertThat(explanation.relatedLines().map(LogLine::event)).contains(436);
  }

  /**
   * A slot was given back, as the engine had said in the answer to another request that it left.
   */
  @Test
  void requestThatLeftALeavingEngineNamesWhoseAnswerSaidSo() {
    String said =
        "W520 engine \"e1\" started at 77 says in its answer to request b7 that it is leaving";
    String reported = "W521 engine \"e1\" started at 77 is leaving, as host \"edge-9\" reports";
    String saidOfAnother =
        "W520 engine \"e9\" started at 78 says in its answer to request b8 that it is leaving";
    String returned =
        "W803 request a1 goes on elsewhere or ends: engine e1 is leaving; last event none,"
            + " run 0 of 2";
    Explanation explanation =
        explainLines(
            "a1",
            logLine(1, said),
            logLine(2, saidOfAnother),
            logLine(3, reported),
            logLine(4, returned),
            logLine(5, SUCCESSFUL_END.replace("e1,e2", "e2")));
    assertThat(explanation.relatedLines().map(LogLine::event)).containsExactly(520, 521);
    assertThat(explanation.relatedLines().head().text()).contains("b7");
    assertThat(explainLines("b7", logLine(1, said)).ownLines()).hasSize(1);
  }

  @Test
  void requestIsShownBesideTheLimitsOfItsEngines() {
    String named =
        "W522 engine \"e2\" started at 77 names limit 3.0 requests/s in its answer to request b7,"
            + " before: none";
    String reported = "W524 engine \"e2\" started at 77 has limit 3.0 requests/s, as host \"h\"";
    String ended =
        "W523 engine \"e2\" started at 77 names limit none in its answer to request b8,"
            + " before: 3.0 requests/s";
    Explanation explanation =
        explainLines(
            "a1",
            logLine(2, named),
            logLine(3, named.replace("e2", "e9")),
            logLine(3, reported),
            logLine(4, ended),
            logLine(5, SUCCESSFUL_END));
    assertThat(explanation.relatedLines().map(LogLine::event)).containsExactly(522, 524, 523);
  }

  @Test
  void ordersLinesByTimeAndOmitsOtherRequests() {
    Explanation explanation =
        explainLines(
            "a1",
            logLine(5, SUCCESSFUL_END),
            logLine(2, FAILED_ATTEMPT),
            logLine(1, FAILED_ATTEMPT.replace("a1", "a11")));
    assertThat(explanation.ownLines().map(LogLine::event)).containsExactly(803, 802);
  }

  @Test
  void includesStateChangesOfInvolvedEnginesAndHosts() {
    String ejected = "W500 engine \"e1\" fails and gets no work until 2026-12-03T10:00:05Z";
    String unrelated = "W500 engine \"e7\" fails and gets no work until 2026-12-03T10:00:05Z";
    Explanation explanation =
        Explanation.of(
            "a1",
            parseLines("host.log", logLine(2, FAILED_ATTEMPT), logLine(3, UNKNOWN_END))
                .appendAll(parseLines("edge-2.log", logLine(1, ejected), logLine(1, unrelated))));
    assertThat(explanation.relatedLines().map(LogLine::text).mkString())
        .contains("e1")
        .doesNotContain("e7");
  }

  @Test
  void ignoresLinesThatAreNotHostEvents() {
    assertThat(LogLine.parse("p", "# A fatal error has been detected")).isEmpty();
    assertThat(LogLine.parse("p", "{\"message\":\"plain\",\"at\":\"2026-12-03T10:00:00Z\"}"))
        .isEmpty();
    assertThat(LogLine.parse("p", "{\"message\":\"W802 x\",\"at\":\"yesterday\"}")).isEmpty();
  }

  /**
   * The log lines were recorded in a run in which a host lost its coordinator and found it again.
   */
  @Test
  void rejectionByCoordinatorDecidesRejectedRequest() throws IOException {
    List<LogLine> lines =
        readRecordedLog("edge-delta-a-1.log").appendAll(readRecordedLog("storage-delta-a-1.log"));
    Explanation explanation = Explanation.of("d8ff724798f54458", lines);
    assertThat(explanation.ownLines().map(LogLine::process))
        .containsExactly("storage-delta-a-1.log", "edge-delta-a-1.log");
    assertThat(explanation.decidingLine().get().text()).contains("15 requests wait before it");
    assertThat(explanation.relatedLines().map(LogLine::event)).contains(430);
  }

  private static List<LogLine> readRecordedLog(String file) throws IOException {
    try (InputStream in = ExplanationTest.class.getResourceAsStream("/explain/" + file)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return List.ofAll(text.lines()).flatMap(l -> LogLine.parse(file, l));
    }
  }

  private static Explanation explainLines(String id, String... lines) {
    return Explanation.of(id, parseLines("host.log", lines));
  }

  private static List<LogLine> parseLines(String process, String... lines) {
    return List.of(lines).flatMap(l -> LogLine.parse(process, l));
  }

  private static String logLine(int second, String message) {
    return "{\"at\":\"2026-12-03T10:00:0%d.000Z\",\"level\":\"INFO\",\"message\":\"%s\"}"
        .formatted(second, message.replace("\"", "\\\""));
  }
}
