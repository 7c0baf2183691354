package org.waxwingcourse.fleet.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.core.time.MutableInstant;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

class FleetLoggingTest {
  private static final Instant AT = Instant.parse("2026-12-03T10:15:30.250Z");

  @Test
  void oneThreadWritesTheQueueAndStopsWithTheContext() {
    LoggerContext context = new LoggerContext("logging-test");
    context.start(new FleetLogging().createConfiguration());
    assertThat(queueThreads()).hasSize(1);
    Thread writer = queueThreads().get(0);
    context.stop();
    assertThat(writer.isAlive()).isFalse();
  }

  @Test
  void lineIsOneJsonObjectForAnyMessage() throws Exception {
    String line = new JsonLineLayout().toSerializable(event("a \"quote\"\nand a break", null));
    JsonNode read = new ObjectMapper().readTree(line);
    assertThat(line).endsWith("}\n").containsOnlyOnce("\n");
    assertThat(read.path("at").asText()).isEqualTo("2026-12-03T10:15:30.250Z");
    assertThat(read.path("level").asText()).isEqualTo("WARN");
    assertThat(read.path("message").asText()).isEqualTo("a \"quote\"\nand a break");
    assertThat(read.path("source").asText()).isEqualTo("org.waxwingcourse.Source");
    assertThat(read.has("error")).isFalse();
  }

  @Test
  void exceptionIsWrittenWithItsStackTrace() throws Exception {
    String line =
        new JsonLineLayout().toSerializable(event("m", new IllegalStateException("broken")));
    JsonNode read = new ObjectMapper().readTree(line);
    assertThat(read.path("error").asText())
        .contains("IllegalStateException: broken")
        .contains("at " + FleetLoggingTest.class.getName());
  }

  @Test
  void droppedLinesAreCounted() {
    DroppedLineCounter dropped = new DroppedLineCounter();
    dropped.append(event("m", null));
    dropped.append(event("m", null));
    assertThat(dropped.count()).isEqualTo(2);
  }

  @Test
  void linesAreWrittenAtTheEndOfABatch() {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    StreamAppender appender = new StreamAppender("stream", stream);
    LogEvent first = event("first", null);
    first.setEndOfBatch(false);
    appender.append(first);
    assertThat(stream.size()).isZero();
    LogEvent last = event("last", null);
    last.setEndOfBatch(true);
    appender.append(last);
    assertThat(stream.toString(StandardCharsets.UTF_8).lines()).hasSize(2);
  }

  @Test
  void linesOfAnUnfinishedBatchAreWrittenWhenTheLogStops() {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    StreamAppender appender = new StreamAppender("stream", stream);
    appender.start();
    LogEvent line = event("last", null);
    line.setEndOfBatch(false);
    appender.append(line);
    appender.stop();
    assertThat(stream.toString(StandardCharsets.UTF_8)).contains("last");
  }

  private static LogEvent event(String message, Throwable thrown) {
    MutableInstant at = new MutableInstant();
    at.initFromEpochMilli(AT.toEpochMilli(), 0);
    return Log4jLogEvent.newBuilder()
        .setLoggerName("org.waxwingcourse.Source")
        .setLevel(Level.WARN)
        .setMessage(new SimpleMessage(message))
        .setThrown(thrown)
        .setThreadName("thread")
        .setInstant(at)
        .build();
  }

  private static List<Thread> queueThreads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(t -> t.getName().endsWith(FleetLogging.QUEUE))
        .toList();
  }
}
