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

/** A TCP proxy on the loopback address that can delay, discard, refuse and reset connections. */
public final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int BACKLOG = 50;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final List<AtomicBoolean> silencedFlags = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
  private volatile Duration delay = Duration.ZERO;
  private volatile boolean responsesDropped;
  private volatile boolean refusing;

  /** Starts a proxy in front of {@code target} on a free port. */
  public FaultProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    startDaemonThread(this::acceptConnections);
  }

  /** Returns the address that the proxy listens on. */
  public InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  /** Makes the open connections accept bytes without forwarding them; new connections work. */
  public void silence() {
    silencedFlags.forEach(flag -> flag.set(true));
  }

  /** Sets the delay before each block of bytes is forwarded to the target. */
  public void delay(Duration newDelay) {
    delay = newDelay;
  }

  /** Sets whether the bytes that the target sends are discarded. */
  public void loseAnswers(boolean dropped) {
    responsesDropped = dropped;
  }

  /** Sets whether new connections are reset on arrival; refusing also resets the open ones. */
  public void refuse(boolean refused) {
    refusing = refused;
    if (refused) {
      sockets.forEach(FaultProxy::reset);
      sockets.clear();
    }
  }

  /** Clears all faults except that silenced connections stay silent. */
  public void heal() {
    delay = Duration.ZERO;
    responsesDropped = false;
    refusing = false;
  }

  /** Returns the bytes that all clients have sent. */
  public byte[] recorded() {
    synchronized (recorded) {
      return recorded.toByteArray();
    }
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket client = listener.accept();
        if (refusing) {
          reset(client);
          continue;
        }
        Socket server = new Socket(target.getAddress(), target.getPort());
        sockets.addAll(List.of(client, server));
        AtomicBoolean silenced = new AtomicBoolean();
        silencedFlags.add(silenced);
        startDaemonThread(() -> forward(client, server, silenced, true));
        startDaemonThread(() -> forward(server, client, silenced, false));
      }
    } catch (IOException e) {
      // The listener is closed.
    }
  }

  private void forward(Socket from, Socket to, AtomicBoolean silenced, boolean fromClient) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (fromClient) {
          synchronized (recorded) {
            recorded.write(buffer, 0, n);
          }
          sleepForDelay();
        }
        if (!silenced.get() && (fromClient || !responsesDropped)) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // One of the two sockets is closed.
    }
  }

  private void sleepForDelay() {
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
      // The socket is already closed.
    }
  }

  private static void startDaemonThread(Runnable task) {
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
