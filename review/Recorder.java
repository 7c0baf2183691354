import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with seconds since the start. */
final class Recorder implements AutoCloseable {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void write(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
