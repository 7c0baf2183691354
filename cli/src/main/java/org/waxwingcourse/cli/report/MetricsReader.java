package org.waxwingcourse.cli.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.time.Deadline;

/** Reads the service-level counters from a node's {@code GET /metrics}. */
public final class MetricsReader {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final String PREFIX = "slo.";
  private static final String TOTAL = ".total";
  private static final String GOOD = ".good";

  private final HttpCaller http;
  private final InstantSource clock;
  private final ObjectMapper mapper = new ObjectMapper();

  private MetricsReader(HttpCaller http, InstantSource clock) {
    this.http = http;
    this.clock = clock;
  }

  /** Returns a reader that calls through {@code http}. */
  public static MetricsReader of(HttpCaller http, InstantSource clock) {
    return new MetricsReader(http, clock);
  }

  /** Takes a sample of one node; the left side says why there is none. */
  public Either<String, Sample> sample(URI node, long atMillis) {
    Deadline deadline = Deadline.after(clock, CALL_TIMEOUT);
    return http.call(HttpRequest.get(node.resolve("/metrics"), deadline))
        .join()
        .mapLeft(CallFailure::message)
        .flatMap(this::read)
        .mapLeft(problem -> node + " gave no metrics: " + problem)
        .map(counts -> new Sample(atMillis, node.toString(), counts));
  }

  private Either<String, List<LevelCount>> read(HttpAnswer answer) {
    if (!answer.isSuccess()) {
      return Either.left("status " + answer.status());
    }
    return Try.of(() -> countsOf(mapper.readTree(answer.body())))
        .toEither()
        .mapLeft(Throwable::getMessage);
  }

  static List<LevelCount> countsOf(JsonNode metrics) {
    List<LevelCount> counts = new ArrayList<>();
    metrics
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (name.startsWith(PREFIX) && name.endsWith(TOTAL)) {
                counts.add(countOf(metrics, name));
              }
            });
    return counts;
  }

  private static LevelCount countOf(JsonNode metrics, String totalName) {
    String name = totalName.substring(0, totalName.length() - TOTAL.length());
    String series = name.substring(PREFIX.length());
    int dot = series.indexOf('.');
    long total = metrics.path(totalName).path("count").asLong();
    long good = metrics.path(name + GOOD).path("count").asLong();
    return new LevelCount(series.substring(0, dot), series.substring(dot + 1), total, good);
  }
}
