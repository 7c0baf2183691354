package org.waxwingcourse.load.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * The measurements of a load run.
 *
 * @param seed the plan's seed
 * @param seconds how long requests were sent, seconds
 * @param total sum over all organisations
 * @param worstServed name of the organisation with the lowest fraction of completed requests
 * @param lateSends largest delay of a send after its scheduled time, milliseconds
 * @param unanswered number of requests without an answer when the run ended
 * @param organisations one report for each organisation
 * @param batches one report for each batch job
 * @param faults injected faults in the order of injection
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

  /** Makes the lists immutable. */
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

  /** Returns the report as a text table. */
  public String table() {
    return LoadTable.of(this);
  }
}
