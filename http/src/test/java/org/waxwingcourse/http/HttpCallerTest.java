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

/** Each test plays the server byte by byte on a socket of its own. */
class HttpCallerTest {
  private static final int WAIT_SECONDS = 30;
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final MonotonicClock clock = MonotonicClock.start();
  private final HttpCaller caller = HttpCaller.of(clock, 1);
  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
  private ServerSocket server;

  private final StreamListener listener =
      new StreamListener() {
        @Override
        public void onHead(HttpAnswer head) {
          heard.add("head " + head.status());
        }

        @Override
        public void onChunk(byte[] bytes) {
          heard.add("chunk " + new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(Option<CallFailure> failure) {
          heard.add("end " + failure.map(f -> f.kind().name()).getOrElse("whole"));
        }
      };

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    server.setSoTimeout(WAIT_SECONDS * 1000);
    caller.start();
  }

  @AfterEach
  void stop() throws IOException {
    caller.stop();
    server.close();
  }

  @Test
  void refusedConnectionIsNotSent() throws IOException {
    HttpRequest request = request();
    server.close();
    assertThat(caller.call(request).join().getLeft().kind()).isEqualTo(CallFailure.Kind.NOT_SENT);
    caller.stream(request, listener);
    assertThat(next()).isEqualTo("end NOT_SENT");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectionEndedBeforeTheAnswerIsLost(boolean reset) throws IOException {
    for (HttpRequest request : new HttpRequest[] {request(), request().onFreshConnection()}) {
      var answer = caller.call(request);
      end(accept(), reset);
      assertThat(answer.join().getLeft().kind()).isEqualTo(CallFailure.Kind.LOST);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectionEndedInMidStreamIsLost(boolean reset) throws IOException {
    caller.stream(request(), listener);
    Socket socket = accept();
    send(socket, CHUNKED + "3\r\none\r\n");
    assertThat(next()).isEqualTo("head 200");
    assertThat(next()).isEqualTo("chunk one");
    end(socket, reset);
    assertThat(next()).isEqualTo("end LOST");
  }

  @Test
  void chunksArriveAsTheyAreSentAndTheEndIsWhole() throws IOException {
    caller.stream(request(), listener);
    Socket socket = accept();
    send(socket, CHUNKED + "3\r\none\r\n");
    assertThat(next()).isEqualTo("head 200");
    assertThat(next()).isEqualTo("chunk one");
    send(socket, "3\r\ntwo\r\n");
    assertThat(next()).isEqualTo("chunk two");
    send(socket, "0\r\n\r\n");
    assertThat(next()).isEqualTo("end whole");
  }

  @Test
  void silenceEndsByTheDeadline() throws IOException {
    HttpRequest request = within(Duration.ofSeconds(1));
    Either<CallFailure, HttpAnswer> answer = caller.call(request).join();
    assertThat(answer.getLeft().kind()).isEqualTo(CallFailure.Kind.TIMED_OUT);
    accept();
    caller.stream(within(Duration.ofSeconds(2)), listener);
    Socket socket = accept();
    send(socket, CHUNKED);
    assertThat(next()).isEqualTo("head 200");
    assertThat(next()).isEqualTo("end TIMED_OUT");
    assertThat(socket.getInputStream().read()).as("the connection is closed").isEqualTo(-1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelClosesTheConnectionOnceTheHeadHasCome(boolean answered) throws IOException {
    StreamCall call = caller.stream(request(), listener);
    Socket socket = accept();
    if (answered) {
      send(socket, CHUNKED);
      assertThat(next()).isEqualTo("head 200");
    }
    call.cancel();
    assertThat(next()).isEqualTo("end CANCELLED");
    if (!answered) {
      send(socket, CHUNKED);
    }
    assertThat(socket.getInputStream().read()).as("the connection is closed").isEqualTo(-1);
  }

  private HttpRequest request() {
    return within(Duration.ofSeconds(2 * WAIT_SECONDS));
  }

  private HttpRequest within(Duration limit) {
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

  private static void end(Socket socket, boolean reset) throws IOException {
    if (reset) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
  }

  private String next() {
    try {
      return heard.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
