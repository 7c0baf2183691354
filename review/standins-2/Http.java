import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client over plain sockets. */
final class Http {
  private Http() {}

  /** A message; {@code start} is the request line or the status line. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    Map<String, String> query() {
      Map<String, String> query = new HashMap<>();
      int mark = target().indexOf('?');
      if (mark >= 0) {
        for (String pair : target().substring(mark + 1).split("&")) {
          String[] parts = pair.split("=", 2);
          query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
      }
      return query;
    }
  }

  /** Handles one request; returns whether the connection is kept. */
  interface Handler {
    boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
  }

  /** A server with one thread per connection. */
  static final class Server implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Server(String ip, int port, Handler handler) throws IOException {
      this.handler = handler;
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
      thread(this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          thread(() -> serve(socket));
        } catch (IOException closed) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Message m = read(in, false); m != null; m = read(in, false)) {
          if (!handler.handle(m, socket, socket.getOutputStream())) {
            return;
          }
        }
      } catch (Exception ended) {
        // The other side has closed the connection.
      } finally {
        open.remove(socket);
      }
    }

    /** Resets all connections, as the end of a process does. */
    void resetAll() {
      open.forEach(Http::reset);
    }

    @Override
    public void close() {
      try {
        listener.close();
      } catch (IOException e) {
        // Nothing is left to close.
      }
      resetAll();
    }
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  static Thread thread(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 128 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static Message read(InputStream in, boolean isAnswer) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    byte[] body;
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("inside a chunked body");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
          throw new EOFException("inside a chunk");
        }
        all.writeBytes(chunk);
        line(in);
        if (length == 0) {
          break;
        }
      }
      body = all.toByteArray();
    } else if (headers.containsKey("Content-Length")) {
      int length = Integer.parseInt(headers.get("Content-Length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("inside a body");
      }
    } else {
      body = isAnswer ? in.readAllBytes() : new byte[0];
    }
    return new Message(start, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("inside a line");
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  static void answer(OutputStream out, int status, String json) throws IOException {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + " S\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    out.write(all.toByteArray());
    out.flush();
  }

  /** Sends a request on a new connection; returns the answer, or throws. */
  static Message call(
      String address, String method, String target, Map<String, String> headers, byte[] body,
      int timeoutMillis)
      throws IOException {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1000);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
      if (body.length > 0 || method.equals("POST")) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(body);
      socket.getOutputStream().write(all.toByteArray());
      socket.getOutputStream().flush();
      Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
      if (answer == null) {
        throw new EOFException("closed without an answer");
      }
      return answer;
    }
  }
}
