package org.waxwingcourse.http.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ratpack.handling.Context;

/** A planned stop closed connections to which the last bytes of a response were still written. */
class OpenExchangesTest {
  /** More than the sockets on the way take. */
  private static final int BODY_BYTES = 32 << 20;

  private final OpenExchanges exchanges = new OpenExchanges();
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
    exchanges.add(context);
    if (context.getRequest().getPath().equals("streamed")) {
      ResponseBodyPublisher body = new ResponseBodyPublisher(() -> {}, () -> {});
      body.add(new byte[1 << 20]);
      body.end(true);
      ResponseEnd.sendInChunks(context);
      context.getResponse().sendStream(body);
    } else {
      context.getResponse().send(Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
    }
  }

  private static boolean await(BooleanSupplier condition) throws InterruptedException {
    Instant end = Instant.now().plusSeconds(10);
    while (!condition.getAsBoolean() && Instant.now().isBefore(end)) {
      Thread.sleep(5);
    }
    return condition.getAsBoolean();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void exchangeIsOpenUntilItsReceiverHasTakenTheResponse(boolean receiverReads) throws Exception {
    try (Socket socket = send("/sent")) {
      assertThat(await(() -> exchanges.count() == 1)).isTrue();
      Thread.sleep(300);
      assertThat(exchanges.count()).as("while nothing is read").isEqualTo(1);
      if (receiverReads) {
        InputStream in = socket.getInputStream();
        for (long left = BODY_BYTES; left > 0; ) {
          left -= in.read(new byte[1 << 16]);
        }
        assertThat(await(() -> exchanges.count() == 0)).isTrue();
      }
    }
    assertThat(await(() -> exchanges.count() == 0)).isTrue();
    try (Socket socket = send("/streamed")) {
      byte[] all = new byte[1 << 20];
      assertThat(socket.getInputStream().readNBytes(all, 0, all.length)).isEqualTo(all.length);
      assertThat(await(() -> exchanges.count() == 0)).as("after a stream").isTrue();
    }
  }

  private static final class NoErrors implements ErrorResponder {
    @Override
    public void onHandlerFailure(Context context, Throwable error) {
      throw new AssertionError(error);
    }

    @Override
    public void onClientError(Context context, int status) {
      context.getResponse().status(status).send();
    }
  }

  private Socket send(String path) throws Exception {
    Socket socket = new Socket("127.0.0.1", server.port());
    socket
        .getOutputStream()
        .write(
            ("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    return socket;
  }
}
