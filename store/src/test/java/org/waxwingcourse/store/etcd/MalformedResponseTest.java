package org.waxwingcourse.store.etcd;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.http.RatpackHttpClient;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Tests the client against a store that sends the same response body to every call. Invalid bodies
 * must become failure values: they must neither complete a future exceptionally nor leave a watch
 * open.
 */
class MalformedResponseTest {
  private static final String VALID_RESPONSE =
      """
      {"header":{"revision":"5"},"succeeded":true,"ID":"7","TTL":"3","result":{"ID":"7","TTL":"3",\
      "events":[{"kv":{"key":"L2E=","mod_revision":"4"}}]},"kvs":[{"key":"L2E=","value":"dg=="}]}
      """;
  private static final long SEED = 20_261_203;
  private static final int MUTATIONS = 300;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private final MonotonicClock clock = MonotonicClock.start();
  private final RatpackHttpClient http = RatpackHttpClient.of(clock, 1);
  private final BlockingQueue<StoreFailure.Kind> watchFailures = new LinkedBlockingQueue<>();
  private volatile String responseBody;
  private HttpServer server;
  private EtcdStore store;

  private final WatchListener listener =
      new WatchListener() {
        @Override
        public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {}

        @Override
        public void onFailure(StoreFailure failure) {
          watchFailures.add(failure.kind());
        }
      };

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          byte[] body = responseBody.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    http.start();
    URI address = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    store = EtcdStore.of(http, clock, EtcdOptions.of(List.of(address)));
  }

  @AfterEach
  void stop() {
    http.stop();
    server.stop(0);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "no JSON\n",
        "null\n",
        "{}\n",
        "{\"result\":{\"events\":[{}]}}\n",
        "{\"header\":{\"revision\":\"-1\"},\"result\":{\"events\":[{\"kv\":{\"key\":\"L2E=\","
            + "\"mod_revision\":\"-4\"}}]},\"kvs\":[{}]}\n",
      })
  void invalidResponsesAreFailuresAndEndTheWatch(String text) throws Exception {
    responseBody = text;
    assertThat(store.read(KeyRange.ofKey("/a")).get().isLeft()).isTrue();
    assertThat(write()).isInstanceOf(WriteOutcome.Unknown.class);
    assertThat(store.renewLease(LeaseId.of(1)).get().isLeft()).isTrue();
    store.watch(KeyRange.ofPrefix("/"), Revision.NONE, listener);
    assertThat(watchFailures.poll(30, TimeUnit.SECONDS)).isNotNull();
  }

  @Test
  void mutatedResponsesNeverCompleteACallExceptionally() throws Exception {
    Random random = new Random(SEED);
    for (int i = 0; i < MUTATIONS; i++) {
      StringBuilder text = new StringBuilder(VALID_RESPONSE);
      for (int mutations = random.nextInt(4); mutations >= 0; mutations--) {
        text.setCharAt(random.nextInt(text.length()), (char) (' ' + random.nextInt(95)));
      }
      responseBody = text.toString();
      assertThat(store.read(KeyRange.ofKey("/a")).get()).isNotNull();
      assertThat(write()).isNotNull();
      assertThat(store.grantLease(Duration.ofSeconds(3)).get()).isNotNull();
      store.watch(KeyRange.ofPrefix("/"), Revision.NONE, listener);
      assertThat(watchFailures.poll(30, TimeUnit.SECONDS)).as("%s", responseBody).isNotNull();
    }
  }

  private WriteOutcome write() throws Exception {
    return store.write(Transaction.builder().put("/a", "v").build()).get();
  }
}
