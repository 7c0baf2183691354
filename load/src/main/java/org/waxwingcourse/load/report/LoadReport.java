package org.waxwingcourse.load.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * What a run has measured.
 *
 * @param seed the plan's seed
 * @param seconds how long requests arrived
 * @param total over all organisations
 * @param worstServed name of the organisation with the lowest share of completed requests
 * @param lateSends latest that a request was sent after its scheduled time, milliseconds
 * @param unanswered requests without an answer when the run ended
 * @param organisations one for each
 * @param batches one for each job
 * @param faults in the order switched
 */
public record LoadReport(
    long seed,
    double seconds,
    OrganisationReport total,
    String worstServed,
    double lateSends,
    long unanswered,
    List<OrganisationReport> organisations,
    List<BatchReport> batches,
    List<FaultReport> faults) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .build();

  /** Copies the lists. */
  public LoadReport {
    organisations = List.copyOf(organisations);
    batches = List.copyOf(batches);
    faults = List.copyOf(faults);
  }

  /** Returns the report as JSON. */
  public String json() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the report as a table for people. */
  public String table() {
    return LoadTable.of(this);
  }
}
