package org.waxwingcourse.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RatpackClassesTest {
  private static final int PROCESSES = 24;
  private static final int AT_ONCE = 4;
  private static final long TIMEOUT_SECONDS = 30;

  /** Two event loops of a starting host waited for each other's class for ever. */
  @Test
  void firstRequestAndFirstResponseInitializeTheirClassesWithoutDeadlock() throws Exception {
    int hung = 0;
    for (int i = 0; i < PROCESSES; i += AT_ONCE) {
      List<Process> processes = new ArrayList<>();
      for (int k = 0; k < AT_ONCE; k++) {
        processes.add(startProbe());
      }
      for (Process process : processes) {
        if (process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
          assertThat(process.exitValue()).isZero();
        } else {
          hung++;
          process.destroyForcibly();
        }
      }
    }
    assertThat(hung).as("of " + PROCESSES + " processes that hang").isZero();
  }

  private static Process startProbe() throws Exception {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            ClassInitializationProbe.class.getName())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }
}
