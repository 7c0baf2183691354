package org.waxwingcourse.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Forwards loopback connections and, when told to, lets the open ones go silent for good. */
final class FaultProxy implements AutoCloseable {
  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final List<AtomicBoolean> open = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();

  FaultProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  /** Open connections go on taking bytes and forward none; new connections work. */
  void silence() {
    open.forEach(s -> s.set(true));
  }

  /** Returns what the diallers have sent. */
  byte[] recorded() {
    synchronized (recorded) {
      return recorded.toByteArray();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        Socket far = new Socket(target.getAddress(), target.getPort());
        sockets.addAll(List.of(near, far));
        AtomicBoolean silent = new AtomicBoolean();
        open.add(silent);
        daemon(() -> pump(near, far, silent, true));
        daemon(() -> pump(far, near, silent, false));
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void pump(Socket from, Socket to, AtomicBoolean silent, boolean record) {
    byte[] buffer = new byte[64 * 1024];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (record) {
          synchronized (recorded) {
            recorded.write(buffer, 0, n);
          }
        }
        if (!silent.get()) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // One end is closed.
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket s : sockets) {
      s.close();
    }
  }
}
