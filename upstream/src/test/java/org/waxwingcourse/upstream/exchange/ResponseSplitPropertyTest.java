package org.waxwingcourse.upstream.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamListener;

/** A response is the same in whichever pieces its bytes arrive. */
class ResponseSplitPropertyTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nid: a\r\n";

  /** How the upstream ends the connection. */
  enum Ending {
    CLOSED,
    RESET,
    LEFT_OPEN
  }

  /** Records a response as text. */
  private static final class Transcript implements StreamListener {
    private final StringBuilder heads = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private String end = "none";

    @Override
    public void onHead(BufferedHttpResponse head) {
      heads.append(head.status()).append(head.headers()).append('|');
    }

    @Override
    public void onChunk(byte[] bytes) {
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      end = end + failure.map(f -> f.kind().toString()).getOrElse("COMPLETE");
    }

    @Override
    public String toString() {
      return heads + body.toString(StandardCharsets.ISO_8859_1) + "|" + end;
    }
  }

  private static Transcript receive(byte[] bytes, List<Integer> pieces, Ending ending) {
    ExchangeHandler exchanges = new ExchangeHandler(1);
    EmbeddedChannel channel =
        new EmbeddedChannel(new ResponseDecoder(exchanges), new HttpRequestEncoder(), exchanges);
    Transcript transcript = new Transcript();
    ExchangeRequest request =
        new ExchangeRequest(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
            "GET",
            "/",
            List.of(),
            new byte[0],
            Option.none());
    new Exchange(request, transcript, new IdleConnectionPool(Clock.systemUTC()), Clock.systemUTC())
        .sendOn(channel);
    int from = 0;
    for (int i = 0; from < bytes.length && channel.isActive(); i++) {
      int size = pieces.isEmpty() ? bytes.length : pieces.get(i % pieces.size());
      int to = Math.min(bytes.length, from + size);
      channel.writeInbound(Unpooled.copiedBuffer(bytes, from, to - from));
      from = to;
    }
    if (channel.isActive() && ending == Ending.CLOSED) {
      channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    } else if (channel.isActive() && ending == Ending.RESET) {
      channel.pipeline().fireExceptionCaught(new IOException("reset"));
    }
    channel.finishAndReleaseAll();
    return transcript;
  }

  @Provide
  Arbitrary<byte[]> responses() {
    Arbitrary<String> prefix =
        Arbitraries.oneOf(
            Arbitraries.of("", "", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n", "\0\0", "junk\r\n\r\n"),
            Arbitraries.integers().between(1, 30_000).map("\r\n"::repeat),
            Arbitraries.integers().between(1, 1200).map("HTTP/1.1 102 x\r\n\r\n"::repeat));
    Arbitrary<String> head =
        Arbitraries.oneOf(
            Arbitraries.of(
                OK + "\r\n",
                OK + "Content-Length: 20\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 500 Error\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                "HTTP/1.1 2"),
            Arbitraries.integers()
                .between(1, 25_000)
                .map(n -> OK + "x: " + "y".repeat(n) + "\r\n\r\n"));
    Arbitrary<String> body =
        Arbitraries.of(
                "5\r\nhello\r\n",
                "0\r\n\r\n",
                "id: 1\ndata: a\n\n",
                "zz\r\n",
                "\r\n",
                OK + "Content-Length: 1\r\n\r\nx",
                "\u0000\u00ff")
            .list()
            .ofMaxSize(6)
            .map(parts -> String.join("", parts));
    return Combinators.combine(prefix, head, body)
        .as((p, h, b) -> (p + h + b).getBytes(StandardCharsets.ISO_8859_1));
  }

  @Provide
  Arbitrary<List<Integer>> pieces() {
    return Arbitraries.oneOf(
            Arbitraries.integers().between(1, 8),
            Arbitraries.integers().between(1, 2000),
            Arbitraries.integers().between(1, 40_000))
        .list()
        .ofMinSize(1)
        .ofMaxSize(12);
  }

  @Property(tries = 1000)
  void responseDoesNotDependOnThePiecesInWhichItArrives(
      @ForAll("responses") byte[] bytes,
      @ForAll("pieces") List<Integer> pieces,
      @ForAll Ending ending) {
    Transcript whole = receive(bytes, List.of(), ending);
    assertThat(receive(bytes, pieces, ending)).hasToString(whole.toString());
    assertThat(whole.end).doesNotContain("COMPLETECOMPLETE");
    String sent = new String(bytes, StandardCharsets.ISO_8859_1);
    String received = whole.body.toString(StandardCharsets.ISO_8859_1);
    assertThat(isMadeOf(received, sent)).isTrue();
  }

  /** Returns whether {@code part} is what is left of {@code whole} when bytes are taken out. */
  private static boolean isMadeOf(String part, String whole) {
    int from = 0;
    for (int i = 0; i < part.length(); i++) {
      from = whole.indexOf(part.charAt(i), from) + 1;
      if (from == 0) {
        return false;
      }
    }
    return true;
  }
}
