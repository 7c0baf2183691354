package org.waxwingcourse.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against time-outs and faults of this host being taken for the answer of an upstream. */
class CallFailureTest {
  @Test
  void onlyARefusalByTheUpstreamsMachineIsARefusedConnection() {
    assertThat(
            CallFailure.notConnected(new ConnectException("Connection refused"))
                .connectionRefused())
        .isTrue();
    List<IOException> others =
        List.of(
            new ConnectTimeoutException("connection timed out after 700 ms"),
            new ConnectException("Connection timed out"),
            new NoRouteToHostException("No route to host"),
            new IOException("Too many open files"));
    assertThat(others)
        .allSatisfy(
            cause -> {
              assertThat(CallFailure.notConnected(cause).connectionRefused()).isFalse();
              assertThat(CallFailure.notConnected(cause).kind())
                  .isEqualTo(CallFailure.Kind.NOT_SENT);
            });
  }
}
