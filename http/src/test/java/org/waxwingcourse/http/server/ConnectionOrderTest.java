package org.waxwingcourse.http.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Tests many requests that wait on one connection behind a slow one. */
class ConnectionOrderTest {
  private static final String REQUEST = "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final int FLOOD = 5000;

  private final AtomicInteger handled = new AtomicInteger();
  private final CompletableFuture<Void> released = new CompletableFuture<>();
  private HttpServer server;

  @BeforeEach
  void start() {
    HttpServer.Options options =
        new HttpServer.Options(
            new InetSocketAddress("127.0.0.1", 0), 1, 8192, Duration.ofSeconds(60));
    server = HttpServer.of(options, List.of(chain -> chain.all(this::handle)), new NoErrors());
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  private void handle(Context context) {
    handled.incrementAndGet();
    Promise.<Void>async(downstream -> released.thenRun(() -> downstream.success(null)))
        .then(nothing -> context.getResponse().send("ok"));
  }

  private static void write(OutputStream out, int requests) throws Exception {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < requests; i++) {
      all.append(REQUEST.formatted(i));
    }
    out.write(all.toString().getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static int responses(InputStream in, int expected) throws Exception {
    StringBuilder received = new StringBuilder();
    int count = 0;
    byte[] buffer = new byte[8192];
    try {
      for (int n = in.read(buffer); n >= 0 && count < expected; n = in.read(buffer)) {
        received.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
        count = received.toString().split("HTTP/1.1 200", -1).length - 1;
        if (count >= expected) {
          return count;
        }
      }
    } catch (SocketException e) {
      return count;
    }
    return count;
  }

  @Test
  void fewWaitingRequestsAreAllAnswered() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      socket.setSoTimeout(10_000);
      write(socket.getOutputStream(), 40);
      released.complete(null);
      assertThat(responses(socket.getInputStream(), 40)).isEqualTo(40);
    }
  }

  @Test
  void floodOfWaitingRequestsClosesTheConnectionAndIsNotHandled() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      socket.setSoTimeout(10_000);
      try {
        write(socket.getOutputStream(), FLOOD);
      } catch (SocketException e) {
        assertThat(e).isNotNull();
      }
      assertThat(responses(socket.getInputStream(), FLOOD)).isZero();
    }
    released.complete(null);
    try (Socket next = new Socket("127.0.0.1", server.port())) {
      next.setSoTimeout(10_000);
      write(next.getOutputStream(), 1);
      assertThat(responses(next.getInputStream(), 1)).isEqualTo(1);
    }
    assertThat(handled.get()).isLessThanOrEqualTo(2);
  }

  /** Answers nothing: no request of this test fails. */
  private static final class NoErrors implements ErrorResponder {
    @Override
    public void onHandlerFailure(Context context, Throwable error) {
      context.getResponse().status(500).send();
    }

    @Override
    public void onClientError(Context context, int status) {
      context.getResponse().status(status).send();
    }
  }
}
