package org.waxwingcourse.upstream.exchange;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream that writes its bytes by hand and ends its connections as the test says. */
final class RawUpstream implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final Script script;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger closedByClient = new AtomicInteger();
  private final CountDownLatch firstClosedByClient = new CountDownLatch(1);

  /** Writes a response to the request that a connection has received. */
  @FunctionalInterface
  interface Script {
    void run(Socket socket, OutputStream out) throws Exception;
  }

  RawUpstream(Script script) throws IOException {
    this.script = script;
    startDaemon(this::acceptAll);
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
  }

  int connections() {
    return connections.get();
  }

  /** Returns the number of connections that failed when the script wrote to them. */
  int closedByClient() {
    return closedByClient.get();
  }

  boolean awaitCloseByClient(long seconds) throws InterruptedException {
    return firstClosedByClient.await(seconds, TimeUnit.SECONDS);
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        startDaemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      while (readHead(in)) {
        script.run(socket, socket.getOutputStream());
      }
    } catch (IOException e) {
      closedByClient.incrementAndGet();
      firstClosedByClient.countDown();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  private static boolean readHead(BufferedReader in) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Closes the connection in such a way that the peer's next read fails. */
  static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
