package org.waxwingcourse.cli.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BurnReportTest {
  private static final long MINUTE = Duration.ofMinutes(1).toMillis();
  private static final String ORGANISATION = "parish";

  private final List<Sample> samples = new ArrayList<>();

  @Test
  void burnRateIsBadEventRatioDividedByErrorBudget() {
    addSample(0, "n1", 1000, 1000);
    addSample(55, "n1", 1900, 1900);
    addSample(60, "n1", 2000, 1990);
    BurnRow firstRow = firstRow();
    assertThat(firstRow.burnRates().get(Window.M5)).isEqualTo(10.0 / 100 / 0.05, within(1e-9));
    assertThat(firstRow.burnRates().get(Window.H1)).isEqualTo(10.0 / 1000 / 0.05, within(1e-9));
  }

  @Test
  void countersOfRestartedAndNewNodesStartAtZero() {
    addSample(0, "n1", 1000, 900);
    addSample(1, "n1", 50, 40);
    addSample(1, "n2", 30, 30);
    assertThat(firstRow().longestWindowCount())
        .isEqualTo(new EventCount("first_token", ORGANISATION, 80, 70));
  }

  @ParameterizedTest
  @CsvSource({
    "0, 0, NONE",
    "0.8, 0.8, PAGE",
    "0.4, 0.4, PAGE",
    "0.8, 0, TICKET",
    "0, 0.8, TICKET",
    "0, 0.4, NONE",
    "0.06, 0.06, TICKET",
  })
  void alertsRequireBurnInLongAndShortWindow(double badBefore, double badNow, BurnRow.Alert alert) {
    long total = 0;
    double good = 0;
    addSample(0, "n1", 0, 0);
    for (int minute = 1; minute <= 6 * 60; minute++) {
      boolean last = minute > 5 * 60 + 30;
      total += 1000;
      good += 1000 * (1 - (last ? badNow : badBefore));
      addSample(minute, "n1", total, Math.round(good));
    }
    assertThat(firstRow().alert()).isEqualTo(alert);
  }

  @Test
  void readsCountersFromMetrics() throws IOException {
    String json =
        """
        {"slo.first_token.parish.total": {"count": 7}, "slo.first_token.parish.good": {"count": 5},
         "slo.admission.parish.total": {"count": 2}, "latency.first_token.parish": {"count": 7}}
        """;
    assertThat(MetricsReader.parseCounts(new ObjectMapper().readTree(json)))
        .containsExactly(
            new EventCount("first_token", ORGANISATION, 7, 5),
            new EventCount("admission", ORGANISATION, 2, 0));
  }

  @Test
  void storesSamplesAndEmbedsPlotsInPage(@TempDir Path folder) throws IOException {
    addSample(0, "n1", 10, 10);
    addSample(1, "n1", 20, 15);
    SampleFile file = SampleFile.at(folder.resolve("samples"));
    file.append(samples.subList(0, 1));
    file.append(samples.subList(1, 2));
    assertThat(file.read().get()).isEqualTo(samples);
    SampleHistory history = SampleHistory.of(samples);
    assertThat(BurnPage.of(history, BurnReport.of(history)))
        .contains("data:image/png;base64,", ORGANISATION);
    Files.writeString(folder.resolve("samples"), "no JSON", StandardOpenOption.APPEND);
    assertThat(file.read().getLeft()).contains("samples:3");
  }

  private void addSample(int minute, String node, long total, long good) {
    EventCount count = new EventCount("first_token", ORGANISATION, total, good);
    samples.add(new Sample(minute * MINUTE, node, List.of(count)));
  }

  private BurnRow firstRow() {
    return BurnReport.of(SampleHistory.of(samples)).rows().get(0);
  }
}
