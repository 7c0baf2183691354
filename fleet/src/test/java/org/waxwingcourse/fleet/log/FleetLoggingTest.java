package org.waxwingcourse.fleet.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.junit.jupiter.api.Test;

class FleetLoggingTest {
  private static final Instant AT = Instant.parse("2026-12-03T10:15:30.250Z");
  private static final int QUEUE_LINES = 2048;
  private static final int TIMEOUT_SECONDS = 20;

  @Test
  void oneThreadWritesTheQueueAndStopsWithTheContext() {
    LineQueue queue = new LineQueue(new ByteArrayOutputStream());
    queue.start();
    assertThat(queueThreads()).hasSize(1);
    Thread writer = queueThreads().get(0);
    new LineLoggerContext(queue).terminate();
    assertThat(writer.isAlive()).isFalse();
  }

  @Test
  void lineIsOneJsonObjectForAnyMessage() throws Exception {
    String line = line("a \"quote\"\nand a break", null).toJson();
    JsonNode read = new ObjectMapper().readTree(line);
    assertThat(line).endsWith("}\n").containsOnlyOnce("\n");
    assertThat(read.path("at").asText()).isEqualTo("2026-12-03T10:15:30.250Z");
    assertThat(read.path("level").asText()).isEqualTo("WARN");
    assertThat(read.path("message").asText()).isEqualTo("a \"quote\"\nand a break");
    assertThat(read.path("source").asText()).isEqualTo("org.waxwingcourse.Source");
    assertThat(read.path("thread").asText()).isEqualTo("thread");
    assertThat(read.has("error")).isFalse();
  }

  /** Guards against a time format that differs from the one that readers of the log expect. */
  @Test
  void timeIsWrittenAsAnInstant() throws Exception {
    for (String time :
        List.of(
            "2026-01-02T03:04:05.006Z",
            "2026-12-31T23:59:59.999Z",
            "2026-02-28T00:00:00Z",
            "2028-02-29T10:00:00.100Z")) {
      long millis = Instant.parse(time).toEpochMilli();
      String json = new LogLine(millis, Level.INFO, "m", "s", "t", null).toJson();
      assertThat(new ObjectMapper().readTree(json).path("at").asText()).isEqualTo(time);
    }
  }

  @Test
  void exceptionIsWrittenWithItsStackTrace() throws Exception {
    String line = line("m", new IllegalStateException("broken")).toJson();
    JsonNode read = new ObjectMapper().readTree(line);
    assertThat(read.path("error").asText())
        .contains("IllegalStateException: broken")
        .contains("at " + FleetLoggingTest.class.getName());
  }

  /** Guards against a queue that blocks its callers, or loses lines without counting them. */
  @Test
  void droppedLinesAreCounted() {
    LineQueue queue = new LineQueue(new ByteArrayOutputStream());
    for (int i = 0; i < QUEUE_LINES + 2; i++) {
      queue.add(line("m", null));
    }
    assertThat(queue.droppedLines()).isEqualTo(2);
  }

  /** Guards against lines that stay in the buffer while nothing else is logged. */
  @Test
  void linesAreWrittenAtTheEndOfABatch() throws Exception {
    FlushedStream stream = new FlushedStream();
    LineQueue queue = new LineQueue(stream);
    queue.add(line("first", null));
    queue.add(line("last", null));
    queue.start();
    assertThat(stream.flushed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(stream.toString(StandardCharsets.UTF_8).lines()).hasSize(2);
    queue.stop();
  }

  @Test
  void linesOfAnUnfinishedBatchAreWrittenWhenTheLogStops() {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    LineQueue queue = new LineQueue(stream);
    queue.add(line("last", null));
    queue.start();
    queue.stop();
    assertThat(stream.toString(StandardCharsets.UTF_8)).contains("last");
  }

  /** Guards against a writer thread that ends when the stream cannot be written. */
  @Test
  void streamThatFailsLosesItsLinesOnly() {
    FailingStream stream = new FailingStream();
    LineQueue queue = new LineQueue(stream);
    queue.start();
    queue.add(line("lost", null));
    queue.add(line("lost too", null));
    queue.stop();
    assertThat(stream.writes).isPositive();
    assertThat(queueThreads()).isEmpty();
  }

  @Test
  void loggersOfLibrariesWriteWarningsOnly() {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    LineQueue queue = new LineQueue(stream);
    LineLoggerContext context = new LineLoggerContext(queue);
    Logger own = context.getLogger("org.waxwingcourse.Source");
    Logger library = context.getLogger("io.netty.channel.Source");
    queue.start();
    own.info("an own {}", "line");
    own.debug("hidden");
    library.info("hidden too");
    library.warn("a warning", new IllegalStateException("broken"));
    context.terminate();
    assertThat(stream.toString(StandardCharsets.UTF_8).lines()).hasSize(2);
    assertThat(stream.toString(StandardCharsets.UTF_8))
        .contains("an own line", "a warning", "IllegalStateException: broken")
        .doesNotContain("hidden");
  }

  private static LogLine line(String message, Throwable thrown) {
    return new LogLine(
        AT.toEpochMilli(), Level.WARN, message, "org.waxwingcourse.Source", "thread", thrown);
  }

  private static List<Thread> queueThreads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(t -> t.getName().endsWith(LineQueue.THREAD))
        .toList();
  }

  /** A stream that tells when it was flushed. */
  private static final class FlushedStream extends ByteArrayOutputStream {
    private final CountDownLatch flushed = new CountDownLatch(1);

    @Override
    public void flush() {
      flushed.countDown();
    }
  }

  /** A stream that cannot be written. */
  private static final class FailingStream extends OutputStream {
    private volatile int writes;

    @Override
    public void write(int b) throws IOException {
      writes++;
      throw new IOException("cannot be written");
    }
  }
}
