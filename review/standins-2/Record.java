import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void add(String who, String what) {
    out.printf("%7d %-10s %s%n", millis(), who, what);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
