package org.waxwingcourse.cli.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/** A file of samples with one JSON object per line. */
public final class SampleFile {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  private final Path path;

  private SampleFile(Path path) {
    this.path = path;
  }

  /** Returns a sample file at a path; the file need not exist yet. */
  public static SampleFile at(Path path) {
    return new SampleFile(path);
  }

  /** Appends samples; returns an error message if the file cannot be written. */
  public Either<String, List<Sample>> append(List<Sample> samples) {
    List<String> lines = new ArrayList<>();
    try {
      for (Sample sample : samples) {
        lines.add(MAPPER.writeValueAsString(sample));
      }
      Files.write(path, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      return Either.right(samples);
    } catch (IOException e) {
      return Either.left("samples cannot be written to " + path + ": " + e.getMessage());
    }
  }

  /**
   * Reads all samples in the order of the file; returns an error message with the line number if a
   * line cannot be read.
   */
  public Either<String, List<Sample>> read() {
    List<Sample> samples = new ArrayList<>();
    int lineNumber = 0;
    try {
      for (String line : Files.readAllLines(path)) {
        lineNumber++;
        samples.add(MAPPER.readValue(line, Sample.class));
      }
      return Either.right(samples);
    } catch (IOException e) {
      return Either.left(path + ":" + lineNumber + ": sample cannot be read: " + e.getMessage());
    }
  }
}
