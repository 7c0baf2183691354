package org.waxwingcourse.fleet.log;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A bounded queue of log lines and the thread that writes them to a stream. Lines for which the
 * queue has no room are dropped and counted; a stream that fails loses its lines and stops nothing.
 */
final class LineQueue {
  static final String THREAD = "log-queue";

  /** Capacity of the queue in lines; one second of lines at full load. */
  private static final int CAPACITY_LINES = 2048;

  /** Tells the thread to end when it has written the lines before. */
  private static final LogLine END = new LogLine(0, null, "", "", "", null);

  private final BlockingQueue<LogLine> lines = new ArrayBlockingQueue<>(CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream stream;
  private final Thread writer = new Thread(this::writeLines, THREAD);
  private volatile boolean stopped;
  private boolean failed;

  LineQueue(OutputStream stream) {
    this.stream = new BufferedOutputStream(stream);
    writer.setDaemon(true);
  }

  void start() {
    writer.start();
  }

  /** Adds a line, unless the queue is full or stopped. */
  void add(LogLine line) {
    if (!stopped && !lines.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  long droppedLines() {
    return dropped.get();
  }

  /** Writes the lines that are queued and ends the thread. */
  void stop() {
    stopped = true;
    try {
      lines.put(END);
      writer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeLines() {
    try {
      LogLine line = lines.take();
      while (line != END) {
        write(line);
        line = lines.poll();
        if (line == null) {
          flush();
          line = lines.take();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    flush();
  }

  private void write(LogLine line) {
    try {
      stream.write(line.toJson().getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      report(e);
    }
  }

  private void flush() {
    try {
      stream.flush();
    } catch (IOException e) {
      report(e);
    }
  }

  /** Reports the first failure only: standard error may be the same disk that is full. */
  private void report(IOException e) {
    if (!failed) {
      failed = true;
      System.err.println("log lines cannot be written: " + e);
    }
  }
}
