package org.waxwingcourse.node.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.HttpResponse;
import com.openai.errors.BadRequestException;
import com.openai.errors.NotFoundException;
import com.openai.errors.UnauthorizedException;
import com.openai.models.batches.Batch;
import com.openai.models.batches.BatchCreateParams;
import com.openai.models.files.FileCreateParams;
import com.openai.models.files.FileObject;
import com.openai.models.files.FilePurpose;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.run.BatchRunner;
import org.waxwingcourse.http.server.HttpServer;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.node.web.FakePorts;
import org.waxwingcourse.standin.store.MemoryStore;

/** Tests the batch API with the OpenAI client library, over an in-memory store. */
class BatchApiTest {
  private static final int ITEMS = 600;

  @TempDir Path folder;

  private final FakePorts ports = new FakePorts();
  private final MemoryStore store = MemoryStore.of(InstantSource.system());
  private final BatchRunner runner =
      BatchComponents.runner(
          ports.ports(), store, HostId.of("host-1"), ChunkCache.NONE, new Random(1));
  private HttpServer server;
  private OpenAIClient client;

  @BeforeEach
  void start() {
    server =
        FakePorts.start(
            BatchComponents.routes(
                ports.ports(), store, BatchComponents.cache(Option.some(folder)), new Random(2)));
    runner.start();
    client = client(FakePorts.KEY);
  }

  @AfterEach
  void stop() {
    client.close();
    runner.stop();
    server.stop();
  }

  private OpenAIClient client(String key) {
    return OpenAIOkHttpClient.builder()
        .baseUrl("http://127.0.0.1:" + server.port() + "/v1")
        .apiKey(key)
        .maxRetries(0)
        .build();
  }

  @Test
  void jobOfOpenAiClientGetsOneResultPerItem() throws IOException {
    FileObject file = upload(lines(ITEMS, "hello"));
    assertThat(file.filename()).isEqualTo("items.jsonl");
    Batch batch = client.batches().create(request(file.id()));
    assertThat(client.batches().create(request(file.id())).id()).isEqualTo(batch.id());
    Batch ended = await(batch.id(), Batch.Status.COMPLETED);
    assertThat(ended.requestCounts().orElseThrow().completed()).isEqualTo(ITEMS);
    assertThat(ended.errorFileId()).isEmpty();
    String output = content(ended.outputFileId().orElseThrow());
    assertThat(output.lines()).hasSize(ITEMS).allMatch(l -> l.contains("\"status_code\":200"));
    assertThat(output.lines().findFirst().orElseThrow()).contains("\"custom_id\":\"item-0\"");
    assertThat(content(file.id())).isEqualTo(lines(ITEMS, "hello"));
    assertThat(client.batches().list().items()).hasSize(1);
    assertThat(client.files().retrieve(ended.outputFileId().get()).filename()).endsWith(".jsonl");
  }

  @Test
  void cancelledJobHasStatusOfCancelResponse() throws IOException {
    FileObject file = upload(lines(100, "hang"));
    Batch batch = client.batches().create(request(file.id()));
    Batch cancelled = client.batches().cancel(batch.id());
    assertThat(cancelled.status()).isIn(Batch.Status.CANCELLED, Batch.Status.CANCELLING);
    assertThat(client.batches().retrieve(batch.id()).status()).isEqualTo(cancelled.status());
  }

  @Test
  void invalidFilesKeysAndIdsAreRejected() {
    assertThatThrownBy(() -> upload(lines(3, "x") + "{\"custom_id\":\n" + lines(1, "x")))
        .isInstanceOf(BadRequestException.class)
        .hasMessageContaining("line 4: ");
    assertThatThrownBy(() -> client.batches().create(request("file_parish_none")))
        .isInstanceOf(NotFoundException.class);
    assertThatThrownBy(() -> content("output_arcade_00")).isInstanceOf(NotFoundException.class);
    assertThatThrownBy(() -> client.batches().retrieve("batch_arcade_00"))
        .isInstanceOf(NotFoundException.class);
    OpenAIClient clientWithInvalidKey = client("wx-other");
    assertThatThrownBy(() -> clientWithInvalidKey.batches().list())
        .isInstanceOf(UnauthorizedException.class);
    clientWithInvalidKey.close();
  }

  private FileObject upload(String text) throws IOException {
    Path path = folder.resolve("items.jsonl");
    Files.writeString(path, text);
    return client
        .files()
        .create(FileCreateParams.builder().purpose(FilePurpose.BATCH).file(path).build());
  }

  private static BatchCreateParams request(String file) {
    return BatchCreateParams.builder()
        .inputFileId(file)
        .endpoint(BatchCreateParams.Endpoint.V1_CHAT_COMPLETIONS)
        .completionWindow(BatchCreateParams.CompletionWindow._24H)
        .build();
  }

  private Batch await(String id, Batch.Status status) {
    long end = System.nanoTime() + 60_000_000_000L;
    Batch batch = client.batches().retrieve(id);
    while (!batch.status().equals(status) && System.nanoTime() < end) {
      java.util.concurrent.locks.LockSupport.parkNanos(50_000_000);
      batch = client.batches().retrieve(id);
    }
    assertThat(batch.status()).isEqualTo(status);
    return batch;
  }

  private String content(String file) {
    try (HttpResponse response = client.files().content(file)) {
      return new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static String lines(int count, String prompt) {
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                "{\"custom_id\":\"item-%d\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
                        .formatted(i)
                    + "\"body\":{\"model\":\"organ-scribe\",\"messages\":"
                    + "[{\"role\":\"user\",\"content\":\"%s\"}]}}\n".formatted(prompt))
        .collect(Collectors.joining());
  }
}
