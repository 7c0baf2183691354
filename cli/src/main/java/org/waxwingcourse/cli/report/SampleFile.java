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

/** Samples kept in a file, one JSON object a line. */
public final class SampleFile {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  private final Path path;

  private SampleFile(Path path) {
    this.path = path;
  }

  /** Returns the file at a path, which need not exist yet. */
  public static SampleFile at(Path path) {
    return new SampleFile(path);
  }

  /** Adds samples; the left side says why it could not. */
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

  /** Reads all samples in the order written; the left side names the line that is wrong. */
  public Either<String, List<Sample>> read() {
    List<Sample> samples = new ArrayList<>();
    int number = 0;
    try {
      for (String line : Files.readAllLines(path)) {
        number++;
        samples.add(MAPPER.readValue(line, Sample.class));
      }
      return Either.right(samples);
    } catch (IOException e) {
      return Either.left(path + ":" + number + ": no sample can be read: " + e.getMessage());
    }
  }
}
