package org.waxwingcourse.upstream.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.http.Header;

/**
 * Upstreams that sent interim responses, another protocol or a byte now and then in place of a head
 * kept their connections and requests until the caller gave up.
 */
class EndlessResponseTest {
  private static final long SLOW_PAUSE_MILLIS = 40;
  private static final long PATIENCE_SECONDS = 20;
  private static final String KEPT = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n";

  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final UpstreamHttpClient client = UpstreamHttpClient.of(group, Clock.systemUTC());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** What an upstream repeats in place of a head. */
  enum Flood {
    EMPTY_LINES("", "\r\n"),
    ZERO_BYTES("", "\0"),
    NOISE("", "\u0005]q\n\u0001 8/x"),
    LETTERS("", "x"),
    HEADER_LINES("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    ONE_HEADER("HTTP/1.1 200 OK\r\nx: ", "y"),
    INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
    OTHER_PROTOCOL("HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n", "x");

    private final String start;
    private final String repeated;

    Flood(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }
  }

  private static void writeForEver(OutputStream out, String start, byte[] repeated)
      throws IOException {
    out.write(RawUpstream.bytes(start));
    while (true) {
      out.write(repeated);
    }
  }

  private static byte[] block(String repeated) {
    return RawUpstream.bytes(repeated.repeat(1 + 8192 / repeated.length()));
  }

  private ReceivedResponse send(RawUpstream upstream) {
    return send(upstream, Option.none());
  }

  private static Option<Header> identity(String id) {
    return Option.some(Header.of("id", id));
  }

  private ReceivedResponse send(RawUpstream upstream, Option<Header> identity) {
    ReceivedResponse received = new ReceivedResponse();
    client.send(
        new ExchangeRequest(upstream.address(), "GET", "/", List.of(), new byte[0], identity),
        received);
    return received;
  }

  @ParameterizedTest
  @EnumSource(Flood.class)
  void floodInPlaceOfAHeadClosesTheConnection(Flood flood) throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((socket, out) -> writeForEver(out, flood.start, block(flood.repeated)))) {
      assertThat(send(upstream).await()).isEqualTo("|MALFORMED");
      assertThat(upstream.awaitCloseByClient(PATIENCE_SECONDS)).isTrue();
      assertThat(client.upstreamsWithIdleConnections()).isEmpty();
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      names = {"EMPTY_LINES", "ZERO_BYTES", "LETTERS", "HEADER_LINES", "ONE_HEADER"})
  void headThatComesAByteNowAndThenClosesTheConnection(Flood flood) throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              out.write(RawUpstream.bytes(flood.start));
              for (int i = 0; true; i++) {
                out.write(flood.repeated.charAt(i % flood.repeated.length()));
                out.flush();
                Thread.sleep(SLOW_PAUSE_MILLIS);
              }
            })) {
      long start = System.nanoTime();
      assertThat(send(upstream).await()).isEqualTo("|MALFORMED");
      Duration passed = Duration.ofNanos(System.nanoTime() - start);
      boolean startsLikeAHead = !flood.start.isEmpty();
      assertThat(passed.compareTo(ResponseDecoder.HEAD_TIMEOUT) >= 0).isEqualTo(startsLikeAHead);
      assertThat(upstream.awaitCloseByClient(PATIENCE_SECONDS)).isTrue();
    }
  }

  /** The time limit is that of one head, not of the work between two. */
  @Test
  void headMayComeLongAfterAnInterimResponse() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              out.write(RawUpstream.bytes("HTTP/1.1 102 Processing\r\n\r\n"));
              out.flush();
              Thread.sleep(ResponseDecoder.HEAD_TIMEOUT.toMillis() + 300);
              out.write(RawUpstream.bytes(KEPT + "Content-Length: 2\r\n\r\nok"));
              out.flush();
            })) {
      assertThat(send(upstream).await()).isEqualTo("ok|COMPLETE");
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      names = {"EMPTY_LINES", "ZERO_BYTES", "NOISE", "LETTERS"})
  void bytesAfterTheEndOfAResponseCloseTheConnection(Flood flood) throws Exception {
    for (String framing : List.of("Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n")) {
      try (RawUpstream upstream =
          new RawUpstream(
              (socket, out) -> writeForEver(out, KEPT + framing, block(flood.repeated)))) {
        assertThat(send(upstream).await()).endsWith("|COMPLETE");
        assertThat(upstream.awaitCloseByClient(PATIENCE_SECONDS)).isTrue();
        assertThat(client.upstreamsWithIdleConnections()).isEmpty();
      }
    }
  }

  @Test
  void bodyAfterAStatusWithoutBodyClosesTheConnection() throws Exception {
    for (String status : List.of("204 No Content", "304 Not Modified")) {
      try (RawUpstream upstream =
          new RawUpstream(
              (socket, out) ->
                  writeForEver(
                      out,
                      "HTTP/1.1 " + status + "\r\nKeep-Alive: timeout=60\r\n\r\n",
                      block("x")))) {
        assertThat(send(upstream).await()).isEqualTo("|COMPLETE");
        assertThat(upstream.awaitCloseByClient(PATIENCE_SECONDS)).isTrue();
      }
    }
  }

  /** Its part of a line would have been put before the head of the next response. */
  @Test
  void singleByteOnAnIdleConnectionClosesIt() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              out.write(RawUpstream.bytes(KEPT + "Content-Length: 2\r\n\r\nok"));
              out.flush();
              Thread.sleep(100);
              out.write('H');
              out.flush();
            })) {
      assertThat(send(upstream).await()).isEqualTo("ok|COMPLETE");
      Thread.sleep(300);
      assertThat(send(upstream).await()).isEqualTo("ok|COMPLETE");
      assertThat(upstream.connections()).isEqualTo(2);
    }
  }

  @Test
  void responseToThePreviousRequestThatDoesNotEndClosesTheConnection() throws Exception {
    String first = KEPT + "id: a\r\nContent-Length: 2\r\n\r\nok";
    String repeated = KEPT + "id: a\r\nContent-Length: 999999999\r\n\r\n";
    int[] requests = new int[1];
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              if (requests[0]++ == 0) {
                out.write(RawUpstream.bytes(first));
                out.flush();
              } else {
                writeForEver(out, repeated, block("x"));
              }
            })) {
      assertThat(send(upstream, identity("a")).await()).isEqualTo("ok|COMPLETE");
      assertThat(send(upstream, identity("b")).await()).isEqualTo("|MALFORMED");
    }
  }

  @Test
  void headsThatDoNotEndAreBoundedOnManyConnections() throws Exception {
    for (int upstreams : new int[] {8, 64}) {
      List<RawUpstream> servers = new ArrayList<>();
      List<ReceivedResponse> responses = new ArrayList<>();
      try {
        for (int i = 0; i < upstreams; i++) {
          Flood flood = Flood.values()[i % Flood.values().length];
          servers.add(
              new RawUpstream(
                  (socket, out) -> writeForEver(out, flood.start, block(flood.repeated))));
        }
        servers.forEach(server -> responses.add(send(server)));
        for (ReceivedResponse response : responses) {
          assertThat(response.await()).isEqualTo("|MALFORMED");
        }
      } finally {
        for (RawUpstream server : servers) {
          server.close();
        }
      }
    }
  }
}
