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

/** Reads the service-level counters from the {@code GET /metrics} response of a node. */
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

  /** Returns a reader that sends requests through {@code http}. */
  public static MetricsReader of(HttpCaller http, InstantSource clock) {
    return new MetricsReader(http, clock);
  }

  /** Samples the counters of one node; returns an error message if they cannot be read. */
  public Either<String, Sample> sampleNode(URI node, long atMillis) {
    Deadline deadline = Deadline.after(clock, CALL_TIMEOUT);
    return http.call(HttpRequest.get(node.resolve("/metrics"), deadline))
        .join()
        .mapLeft(CallFailure::message)
        .flatMap(this::parseResponse)
        .mapLeft(errorMessage -> node + " returned no metrics: " + errorMessage)
        .map(counts -> new Sample(atMillis, node.toString(), counts));
  }

  private Either<String, List<EventCount>> parseResponse(HttpAnswer answer) {
    if (!answer.isSuccess()) {
      return Either.left("status " + answer.status());
    }
    return Try.of(() -> parseCounts(mapper.readTree(answer.body())))
        .toEither()
        .mapLeft(Throwable::getMessage);
  }

  static List<EventCount> parseCounts(JsonNode metrics) {
    List<EventCount> counts = new ArrayList<>();
    metrics
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (name.startsWith(PREFIX) && name.endsWith(TOTAL)) {
                counts.add(parseCount(metrics, name));
              }
            });
    return counts;
  }

  private static EventCount parseCount(JsonNode metrics, String totalName) {
    String name = totalName.substring(0, totalName.length() - TOTAL.length());
    String series = name.substring(PREFIX.length());
    int dot = series.indexOf('.');
    long total = metrics.path(totalName).path("count").asLong();
    long good = metrics.path(name + GOOD).path("count").asLong();
    return new EventCount(series.substring(0, dot), series.substring(dot + 1), total, good);
  }
}
