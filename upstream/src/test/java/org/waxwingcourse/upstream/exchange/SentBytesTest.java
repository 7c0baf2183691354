package org.waxwingcourse.upstream.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.time.ManualClock;

/** Tests that an upstream reads from its connections just the requests that were sent. */
class SentBytesTest {
  private static final long PATIENCE_SECONDS = 10;

  /** More than the buffers of both ends of a connection hold. */
  private static final int LONG_BODY = 16 << 20;

  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final UpstreamHttpClient client =
      UpstreamHttpClient.of(group, ManualClock.at(Instant.ofEpochSecond(1000)));
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

  SentBytesTest() throws IOException {}

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<String> send(
      String method, String target, List<Header> headers, byte[] body) {
    CompletableFuture<String> end = new CompletableFuture<>();
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    client.send(
        new ExchangeRequest(address, method, target, headers, body, Option.none()),
        new StreamListener() {
          @Override
          public void onHead(BufferedHttpResponse head) {}

          @Override
          public void onChunk(byte[] bytes) {}

          @Override
          public void onEnd(Option<CallFailure> failure) {
            end.complete(failure.map(f -> f.kind().toString()).getOrElse("complete"));
          }
        });
    return end;
  }

  private static void runInBackground(ThrowingRunnable task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The test ends the connection or fails on what it waits for.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @FunctionalInterface
  private interface ThrowingRunnable {
    void run() throws IOException, InterruptedException;
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return head.toString();
      }
      head.append((char) b);
    }
    return head.toString();
  }

  /** An upstream that answers before it has read the body finds the whole body after that. */
  @Test
  void requestAfterAnEarlyAnswerFollowsTheWholeBodyOfTheOneBefore() throws Exception {
    CompletableFuture<byte[]> firstBody = new CompletableFuture<>();
    CompletableFuture<String> secondHead = new CompletableFuture<>();
    CountDownLatch secondSent = new CountDownLatch(1);
    runInBackground(
        () -> {
          try (Socket socket = server.accept()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            readHead(in);
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            secondSent.await();
            firstBody.complete(in.readNBytes(LONG_BODY));
            secondHead.complete(readHead(in));
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
          }
        });
    byte[] body = new byte[LONG_BODY];
    Arrays.fill(body, (byte) 'b');
    CompletableFuture<String> first = send("POST", "/first", List.of(), body);
    assertThat(first.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("complete");
    runInBackground(
        () -> {
          try (Socket socket = server.accept()) {
            secondHead.complete(readHead(socket.getInputStream()));
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
          }
        });
    CompletableFuture<String> second = send("GET", "/second", List.of(), new byte[0]);
    secondSent.countDown();
    assertThat(firstBody.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo(body);
    assertThat(secondHead.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).startsWith("GET /second ");
    assertThat(second.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("complete");
  }

  private static final String FORGERY = "\r\n\r\nPOST /forged HTTP/1.1\r\n\r\n";

  @ParameterizedTest
  @ValueSource(strings = {FORGERY, "\rid: forged", "\nid: forged", "\u0000", "\u000bid: forged"})
  void headThatHoldsAnotherRequestIsNotSent(String forgery) throws Exception {
    CompletableFuture<String> received = new CompletableFuture<>();
    runInBackground(
        () -> {
          while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
              String head = readHead(socket.getInputStream());
              if (!head.isEmpty()) {
                received.complete(head);
              }
            }
          }
        });
    byte[] none = new byte[0];
    List<CompletableFuture<String>> ends =
        List.of(
            send("GET", "/a" + forgery, List.of(), none),
            send("GET", "/a HTTP/1.1" + forgery, List.of(), none),
            send("GET", "/a", List.of(Header.of("a", "b" + forgery)), none),
            send("GET", "/a", List.of(Header.of("a: b" + forgery, "c")), none),
            send("GET" + forgery, "/a", List.of(), none));
    for (CompletableFuture<String> end : ends) {
      assertThat(end.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("NOT_SENT");
    }
    assertThat(received).isNotDone();
  }
}
