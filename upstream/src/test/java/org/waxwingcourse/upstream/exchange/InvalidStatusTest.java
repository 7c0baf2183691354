package org.waxwingcourse.upstream.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A status under 100 was taken for that of an interim response, so that the request waited for
 * another head until its deadline; one above 599 reached the caller.
 */
class InvalidStatusTest {
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final UpstreamHttpClient client = UpstreamHttpClient.of(group, Clock.systemUTC());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "600", "999", "1200", "-20"})
  void responseWithInvalidStatusIsMalformed(String status) throws Exception {
    String response = "HTTP/1.1 " + status + " trouble\r\nContent-Length: 4\r\n\r\nbody";
    try (RawUpstream upstream =
        new RawUpstream(
            (socket, out) -> {
              out.write(RawUpstream.bytes(response));
              out.flush();
            })) {
      ReceivedResponse received = new ReceivedResponse();
      client.send(
          new ExchangeRequest(
              upstream.address(), "POST", "/", List.of(), new byte[0], Option.none()),
          received);
      assertThat(received.await()).isEqualTo("|MALFORMED");
      assertThat(client.upstreamsWithIdleConnections()).isEmpty();
    }
  }
}
