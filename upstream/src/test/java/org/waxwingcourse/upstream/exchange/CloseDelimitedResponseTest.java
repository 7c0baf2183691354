package org.waxwingcourse.upstream.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.http.StreamCall;

/**
 * A whole response with neither a length nor chunks was reported as lost, and its request sent
 * again.
 */
class CloseDelimitedResponseTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nid: a\r\n\r\n";

  /** More than the socket buffers of a loopback connection hold. */
  private static final int LONG_BODY = 32 << 20;

  private final EventLoopGroup group = createGroup();
  private final UpstreamHttpClient client = UpstreamHttpClient.of(group, Clock.systemUTC());

  EventLoopGroup createGroup() {
    return new NioEventLoopGroup(1);
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** How an upstream ends a connection. */
  enum Ending {
    CLOSE {
      @Override
      void apply(Socket socket) throws Exception {
        socket.close();
      }
    },
    RESET {
      @Override
      void apply(Socket socket) throws Exception {
        RawUpstream.reset(socket);
      }
    },
    /** Closes only the sending side and waits for the client to close the other. */
    SHUT_OUTPUT {
      @Override
      void apply(Socket socket) throws Exception {
        socket.shutdownOutput();
        while (socket.getInputStream().read() >= 0) {
          continue;
        }
      }
    };

    abstract void apply(Socket socket) throws Exception;
  }

  private ReceivedResponse send(RawUpstream upstream, byte[] body) {
    ReceivedResponse received = new ReceivedResponse();
    start(upstream, body, received);
    return received;
  }

  private StreamCall start(RawUpstream upstream, byte[] body, ReceivedResponse received) {
    return client.send(
        new ExchangeRequest(upstream.address(), "POST", "/", List.of(), body, Option.none()),
        received);
  }

  /**
   * The client is sure to have read the body before a reset, which may overtake what is in flight.
   */
  private static void writeAndEnd(Socket socket, OutputStream out, String text, Ending ending)
      throws Exception {
    out.write(RawUpstream.bytes(text));
    out.flush();
    if (ending == Ending.RESET) {
      Thread.sleep(50);
    }
    ending.apply(socket);
  }

  @ParameterizedTest
  @CsvSource({
    "CLOSE, whole, whole|COMPLETE",
    "SHUT_OUTPUT, whole, whole|COMPLETE",
    "RESET, whole, whole|LOST",
    "CLOSE, '', |COMPLETE",
    "RESET, '', |LOST"
  })
  void orderlyCloseCompletesTheResponseAndAResetDoesNot(Ending ending, String body, String result)
      throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((socket, out) -> writeAndEnd(socket, out, HEAD + body, ending))) {
      assertThat(send(upstream, new byte[0]).await()).isEqualTo(result);
      assertThat(client.upstreamsWithIdleConnections()).isEmpty();
      assertThat(send(upstream, new byte[0]).await()).isEqualTo(result);
      assertThat(upstream.connections()).isEqualTo(2);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'Content-Length: 6\r\n\r\nwhole'",
    "'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n'",
    "'Transfer-Encoding: chunked\r\n\r\n6\r\nwhole'"
  })
  void framedResponseThatEndsEarlyStaysIncomplete(String framed) throws Exception {
    String text = "HTTP/1.1 200 OK\r\n" + framed;
    for (Ending ending : Ending.values()) {
      try (RawUpstream upstream =
          new RawUpstream((socket, out) -> writeAndEnd(socket, out, text, ending))) {
        assertThat(send(upstream, new byte[0]).await()).as(ending.name()).isEqualTo("whole|LOST");
      }
    }
  }

  /** The failed write of the request's body closes the connection on this side. */
  @Test
  void resetSeenByTheWriteOfALongRequestIsNoEnd() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((socket, out) -> writeAndEnd(socket, out, HEAD + "early", Ending.RESET))) {
      assertThat(send(upstream, new byte[LONG_BODY]).await()).endsWith("|LOST");
    }
  }

  /**
   * An upstream that answered early and closed its side while the request was still being written
   * had its part of a body reported as complete, although it reset the connection afterwards.
   */
  @Test
  void closeBeforeTheRequestIsWrittenIsNoEnd() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              out.write(RawUpstream.bytes(HEAD + "early"));
              out.flush();
              socket.shutdownOutput();
              Thread.sleep(50);
              RawUpstream.reset(socket);
            })) {
      assertThat(send(upstream, new byte[LONG_BODY]).await()).isEqualTo("early|LOST");
      assertThat(client.upstreamsWithIdleConnections()).isEmpty();
    }
  }

  @Test
  void cancelledResponseIsNotComplete() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              out.write(RawUpstream.bytes(HEAD + "part"));
              out.flush();
              socket.getInputStream().read();
            })) {
      ReceivedResponse received = new ReceivedResponse();
      StreamCall call = start(upstream, new byte[0], received);
      received.awaitHead();
      call.cancel();
      assertThat(received.await()).endsWith("|CANCELLED");
    }
  }

  @Test
  void idleConnectionWhoseUpstreamShutsItsOutputIsNotUsedAgain() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) ->
                writeAndEnd(
                    socket,
                    out,
                    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\nx",
                    Ending.SHUT_OUTPUT))) {
      assertThat(send(upstream, new byte[0]).await()).isEqualTo("x|COMPLETE");
      while (!client.upstreamsWithIdleConnections().isEmpty()) {
        Thread.sleep(1);
      }
      assertThat(send(upstream, new byte[0]).await()).isEqualTo("x|COMPLETE");
      assertThat(upstream.connections()).isEqualTo(2);
    }
  }
}
