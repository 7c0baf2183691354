package org.waxwingcourse.upstream.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.time.ManualClock;

/** Tests which connections are used again, against an upstream that writes responses by hand. */
class UpstreamHttpClientTest {
  private static final long PATIENCE_SECONDS = 10;

  private final EventLoopGroup group = createGroup();
  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final UpstreamHttpClient client = UpstreamHttpClient.of(group, clock);
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

  UpstreamHttpClientTest() throws IOException {}

  EventLoopGroup createGroup() {
    return new NioEventLoopGroup(1);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nid: "
        + id
        + "\r\nKeep-Alive: timeout=5\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Answers the n-th request, counted from 1, with id {@code id} by {@code answer.apply(n, id)}.
   */
  private void serve(BiFunction<Integer, String, String> answer) {
    Thread acceptor =
        new Thread(
            () -> {
              while (!server.isClosed()) {
                try {
                  Socket socket = server.accept();
                  connections.incrementAndGet();
                  Thread worker = new Thread(() -> serveConnection(socket, answer));
                  worker.setDaemon(true);
                  worker.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private void serveConnection(Socket socket, BiFunction<Integer, String, String> answer) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("GET ")) {
          String id = line.split(" ")[1].substring(1);
          while (!in.readLine().isEmpty()) {
            // The rest of the header says nothing.
          }
          String text = answer.apply(requests.incrementAndGet(), id);
          socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  /** The response to one request: its body, or the failure. */
  private static final class Received implements StreamListener {
    private final StringBuilder body = new StringBuilder();
    private final CompletableFuture<String> end = new CompletableFuture<>();

    @Override
    public void onHead(BufferedHttpResponse head) {}

    @Override
    public void onChunk(byte[] bytes) {
      body.append(new String(bytes, StandardCharsets.US_ASCII));
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      end.complete(failure.map(f -> f.kind().toString()).getOrElse(body.toString()));
    }

    String await() throws Exception {
      return end.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
  }

  private StreamCall send(String id, Received listener) {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    ExchangeRequest request =
        new ExchangeRequest(
            address, "GET", "/" + id, List.of(), new byte[0], Option.some(Header.of("id", id)));
    return client.send(request, listener);
  }

  private String call(String id) throws Exception {
    Received received = new Received();
    send(id, received);
    return received.await();
  }

  @Test
  void connectionIsUsedAgainUntilItsIdleTimeout() throws Exception {
    serve((n, id) -> response(id, "body " + id));
    assertThat(call("a")).isEqualTo("body a");
    assertThat(client.upstreamsWithIdleConnections()).hasSize(1);
    assertThat(call("b")).isEqualTo("body b");
    assertThat(connections).hasValue(1);
    clock.advance(Duration.ofMillis(4400));
    assertThat(client.upstreamsWithIdleConnections()).isEmpty();
    assertThat(call("c")).isEqualTo("body c");
    assertThat(connections).hasValue(2);
  }

  /** The log of an exchange names its connection, so that it can be told from a damaged one. */
  @Test
  void exchangeNamesItsConnectionAndItsPlaceThere() throws Exception {
    serve((n, id) -> response(id, "body " + id));
    List<String> uses = new ArrayList<>();
    for (String id : List.of("a", "b")) {
      Received received = new Received();
      StreamCall call = send(id, received);
      received.await();
      uses.add(call.connection().get().toString());
    }
    clock.advance(Duration.ofMillis(4400));
    Received received = new Received();
    StreamCall call = send("c", received);
    received.await();
    uses.add(call.connection().get().toString());
    assertThat(uses).containsExactly("1.1", "1.2", "2.1");
  }

  @Test
  void repeatedResponseToThePreviousRequestIsDropped() throws Exception {
    serve((n, id) -> (n == 2 ? response("a", "body a") : "") + response(id, "body " + id));
    assertThat(call("a")).isEqualTo("body a");
    assertThat(call("b")).isEqualTo("body b");
    assertThat(call("c")).isEqualTo("body c");
    assertThat(connections).hasValue(1);
  }

  @Test
  void repeatedResponseIsDroppedAlsoAfterAnotherRequest() throws Exception {
    serve((n, id) -> (n == 3 ? response("a", "body a") : "") + response(id, "body " + id));
    assertThat(call("a")).isEqualTo("body a");
    assertThat(call("b")).isEqualTo("body b");
    assertThat(call("c")).isEqualTo("body c");
    assertThat(connections).hasValue(1);
  }

  @Test
  void repeatedResponseWasTakenForThatToTheSameRequestSentAgain() throws Exception {
    serve(
        (n, id) ->
            (n == 2 && connections.get() == 1 ? response(id, "first") : "")
                + response(id, n == 1 ? "first" : "second"));
    assertThat(call("a")).isEqualTo("first");
    assertThat(call("a")).isEqualTo("second");
  }

  /** The connection that cannot be used for one request is kept for the others. */
  @Test
  void repeatedResponseWasTakenForThatToTheSameRequestSentAgainAfterAnother() throws Exception {
    serve(
        (n, id) ->
            (n == 3 && connections.get() == 1 ? response(id, "first") : "")
                + response(id, n == 1 ? "first" : "later"));
    assertThat(call("a")).isEqualTo("first");
    assertThat(call("b")).isEqualTo("later");
    assertThat(call("a")).isEqualTo("later");
    for (int i = 0; i < 4; i++) {
      assertThat(call("c" + i)).isEqualTo("later");
    }
    assertThat(call("a")).isEqualTo("later");
    assertThat(connections).hasValue(3);
  }

  /** Nothing shows that the own response would follow. */
  @Test
  void responseToAnUnknownRequestIsPassedOn() throws Exception {
    serve((n, id) -> n == 2 ? response("unknown", "foreign") : response(id, "body " + id));
    assertThat(call("a")).isEqualTo("body a");
    assertThat(call("b")).isEqualTo("foreign");
  }

  @Test
  void connectionsBesideASilentOneAreNotUsedAgain() throws Exception {
    serve((n, id) -> id.startsWith("silent") ? "" : response(id, "body " + id));
    Received first = new Received();
    Received second = new Received();
    send("a", first);
    send("b", second);
    first.await();
    second.await();
    int opened = connections.get();
    Received silent = new Received();
    StreamCall call = send("silent", silent);
    while (requests.get() < 3) {
      Thread.sleep(1);
    }
    clock.advance(Duration.ofMillis(600));
    call.cancel();
    assertThat(silent.await()).isEqualTo("CANCELLED");
    assertThat(client.upstreamsWithIdleConnections()).isEmpty();
    assertThat(call("c")).isEqualTo("body c");
    assertThat(connections).hasValue(opened + 1);
  }
}
