package org.waxwingcourse.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;

/** Tests the client against a server socket on which each test writes the response byte by byte. */
class HttpCallerTest {
  private static final int WAIT_SECONDS = 30;
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final MonotonicClock clock = MonotonicClock.start();
  private final HttpCaller client = HttpCaller.of(clock, 1);
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private ServerSocket server;

  private final StreamListener listener =
      new StreamListener() {
        @Override
        public void onHead(HttpAnswer head) {
          events.add("head " + head.status());
        }

        @Override
        public void onChunk(byte[] bytes) {
          events.add("chunk " + new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(Option<CallFailure> failure) {
          events.add("end " + failure.map(f -> f.kind().name()).getOrElse("complete"));
        }
      };

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    server.setSoTimeout(WAIT_SECONDS * 1000);
    client.start();
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  @Test
  void refusedConnectionIsNotSent() throws IOException {
    HttpRequest request = request();
    server.close();
    assertThat(client.call(request).join().getLeft().kind()).isEqualTo(CallFailure.Kind.NOT_SENT);
    client.stream(request, listener);
    assertThat(nextEvent()).isEqualTo("end NOT_SENT");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectionClosedBeforeResponseIsLost(boolean reset) throws IOException {
    for (HttpRequest request : new HttpRequest[] {request(), request().onFreshConnection()}) {
      var result = client.call(request);
      closeSocket(accept(), reset);
      assertThat(result.join().getLeft().kind()).isEqualTo(CallFailure.Kind.LOST);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectionClosedMidStreamIsLost(boolean reset) throws IOException {
    client.stream(request(), listener);
    Socket socket = accept();
    send(socket, CHUNKED + "3\r\none\r\n");
    assertThat(nextEvent()).isEqualTo("head 200");
    assertThat(nextEvent()).isEqualTo("chunk one");
    closeSocket(socket, reset);
    assertThat(nextEvent()).isEqualTo("end LOST");
  }

  @Test
  void chunksArriveAsSentAndResponseEndsComplete() throws IOException {
    client.stream(request(), listener);
    Socket socket = accept();
    send(socket, CHUNKED + "3\r\none\r\n");
    assertThat(nextEvent()).isEqualTo("head 200");
    assertThat(nextEvent()).isEqualTo("chunk one");
    send(socket, "3\r\ntwo\r\n");
    assertThat(nextEvent()).isEqualTo("chunk two");
    send(socket, "0\r\n\r\n");
    assertThat(nextEvent()).isEqualTo("end complete");
  }

  @Test
  void callWithoutResponseEndsAtDeadline() throws IOException {
    HttpRequest request = requestWithin(Duration.ofSeconds(1));
    Either<CallFailure, HttpAnswer> result = client.call(request).join();
    assertThat(result.getLeft().kind()).isEqualTo(CallFailure.Kind.TIMED_OUT);
    accept();
    client.stream(requestWithin(Duration.ofSeconds(2)), listener);
    Socket socket = accept();
    send(socket, CHUNKED);
    assertThat(nextEvent()).isEqualTo("head 200");
    assertThat(nextEvent()).isEqualTo("end TIMED_OUT");
    assertThat(socket.getInputStream().read()).as("the connection is closed").isEqualTo(-1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelClosesConnectionOnceHeadHasArrived(boolean answered) throws IOException {
    StreamCall call = client.stream(request(), listener);
    Socket socket = accept();
    if (answered) {
      send(socket, CHUNKED);
      assertThat(nextEvent()).isEqualTo("head 200");
    }
    call.cancel();
    assertThat(nextEvent()).isEqualTo("end CANCELLED");
    if (!answered) {
      send(socket, CHUNKED);
    }
    assertThat(socket.getInputStream().read()).as("the connection is closed").isEqualTo(-1);
  }

  private HttpRequest request() {
    return requestWithin(Duration.ofSeconds(2 * WAIT_SECONDS));
  }

  private HttpRequest requestWithin(Duration limit) {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/x");
    return HttpRequest.postJson(uri, "{}", Deadline.after(clock, limit));
  }

  /** Accepts a connection and reads its request up to the end of the body. */
  private Socket accept() throws IOException {
    Socket socket = server.accept();
    socket.setSoTimeout(WAIT_SECONDS * 1000);
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("{}")) {
      text.append((char) in.read());
    }
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  private static void closeSocket(Socket socket, boolean reset) throws IOException {
    if (reset) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
  }

  private String nextEvent() {
    try {
      return events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
