package org.waxwingcourse.standin.link;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Forwards loopback connections, and delays, cuts, resets or silences them when told to. */
public final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int BACKLOG = 50;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final List<AtomicBoolean> open = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
  private volatile Duration delay = Duration.ZERO;
  private volatile boolean answersLost;
  private volatile boolean refusing;

  /** Starts a proxy before {@code target} on a free port. */
  public FaultProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  /** Returns where to connect. */
  public InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  /** Open connections go on taking bytes and forward none; new connections work. */
  public void silence() {
    open.forEach(s -> s.set(true));
  }

  /** Holds each piece up for this long on its way to the target. */
  public void delay(Duration time) {
    delay = time;
  }

  /** What the target sends is lost from now on, or again forwarded. */
  public void loseAnswers(boolean lost) {
    answersLost = lost;
  }

  /** Connections are reset and new ones closed at once from now on, or again served. */
  public void refuse(boolean refused) {
    refusing = refused;
    if (refused) {
      sockets.forEach(FaultProxy::reset);
      sockets.clear();
    }
  }

  /** Ends all faults; connections that went silent stay so. */
  public void heal() {
    delay = Duration.ZERO;
    answersLost = false;
    refusing = false;
  }

  /** Returns what the diallers have sent. */
  public byte[] recorded() {
    synchronized (recorded) {
      return recorded.toByteArray();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        if (refusing) {
          reset(near);
          continue;
        }
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

  private void pump(Socket from, Socket to, AtomicBoolean silent, boolean asking) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (asking) {
          synchronized (recorded) {
            recorded.write(buffer, 0, n);
          }
          hold();
        }
        if (!silent.get() && (asking || !answersLost)) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // One end is closed.
    }
  }

  private void hold() {
    try {
      Thread.sleep(delay.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
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
