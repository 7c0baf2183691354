package org.waxwingcourse.node.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.HttpResponse;
import com.openai.models.batches.Batch;
import com.openai.models.batches.BatchCreateParams;
import com.openai.models.files.FileCreateParams;
import com.openai.models.files.FilePurpose;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingcourse.node.TestFleet;
import org.waxwingcourse.standin.plain.ServiceFaults;

/**
 * Runs jobs on real nodes, with stand-ins for engines, service and platform: one while the host
 * that accepted it stops, one while connections to the service break.
 */
class BatchFleetTest {
  private static final int ITEMS = 520;
  private static final int SUMMARIES = 40;

  @TempDir Path folder;

  @Test
  void jobCompletesAfterItsHostStopsAndIsReadableOnOtherHosts() throws IOException {
    try (TestFleet fleet = TestFleet.start(2, 3)) {
      Path path = folder.resolve("items.jsonl");
      Files.writeString(path, lines());
      String file =
          client(fleet, 0)
              .files()
              .create(FileCreateParams.builder().purpose(FilePurpose.BATCH).file(path).build())
              .id();
      BatchCreateParams request =
          BatchCreateParams.builder()
              .inputFileId(file)
              .endpoint(BatchCreateParams.Endpoint.V1_CHAT_COMPLETIONS)
              .completionWindow(BatchCreateParams.CompletionWindow._24H)
              .build();
      String job = client(fleet, 0).batches().create(request).id();
      assertThat(client(fleet, 1).batches().create(request).id()).isEqualTo(job);
      fleet.node(0).stop();
      OpenAIClient reader = client(fleet, 2);
      TestFleet.await(() -> reader.batches().retrieve(job).status().equals(Batch.Status.COMPLETED));
      Batch ended = client(fleet, 1).batches().retrieve(job);
      assertThat(ended.requestCounts().orElseThrow().completed()).isEqualTo(ITEMS);
      assertThat(customIds(reader, ended.outputFileId().orElseThrow())).hasSize(ITEMS);
    }
  }

  /** The OpenAI client has no constant for a service endpoint, so the test passes it as text. */
  @Test
  void nonRepeatableItemRunsOnceDespiteBrokenConnections() throws IOException {
    try (TestFleet fleet = TestFleet.start(1, 2)) {
      fleet.service().setFaults(new ServiceFaults(0, 0, 3, 0, false, 0));
      Path path = folder.resolve("summaries.jsonl");
      Files.writeString(path, summaries());
      OpenAIClient client = client(fleet, 0);
      String file =
          client
              .files()
              .create(FileCreateParams.builder().purpose(FilePurpose.BATCH).file(path).build())
              .id();
      String job =
          client
              .batches()
              .create(
                  BatchCreateParams.builder()
                      .inputFileId(file)
                      .endpoint(BatchCreateParams.Endpoint.of("/services/billing"))
                      .completionWindow(BatchCreateParams.CompletionWindow._24H)
                      .build())
              .id();
      TestFleet.await(() -> client.batches().retrieve(job).status().equals(Batch.Status.COMPLETED));
      Batch ended = client.batches().retrieve(job);
      assertThat(ended.requestCounts().orElseThrow().failed()).isEqualTo(3);
      assertThat(customIds(client, ended.errorFileId().orElseThrow())).hasSize(3);
      assertThat(customIds(client, ended.outputFileId().orElseThrow())).hasSize(SUMMARIES - 3);
      for (int i = 0; i < SUMMARIES; i++) {
        String key = "batch_req_" + job + "_" + i;
        assertThat(fleet.service().runsOfKey(key)).as(key).isEqualTo(1);
      }
    }
  }

  private static String summaries() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < SUMMARIES; i++) {
      text.append("{\"custom_id\":\"line-").append(i).append("\",\"method\":\"POST\",\"url\":");
      text.append("\"/services/billing/summaries/").append(i).append("\",\"body\":{}}\n");
    }
    return text.toString();
  }

  private static OpenAIClient client(TestFleet fleet, int node) {
    return OpenAIOkHttpClient.builder()
        .baseUrl(fleet.url(node) + "/v1")
        .apiKey(TestFleet.KEY)
        .maxRetries(0)
        .build();
  }

  private static Set<String> customIds(OpenAIClient client, String file) throws IOException {
    try (HttpResponse response = client.files().content(file)) {
      String text = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
      Set<String> ids = new HashSet<>();
      Matcher m = Pattern.compile("\"custom_id\":\"([^\"]*)\"").matcher(text);
      while (m.find()) {
        assertThat(ids.add(m.group(1))).as("one result of %s", m.group(1)).isTrue();
      }
      return ids;
    }
  }

  private static String lines() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < ITEMS; i++) {
      text.append("{\"custom_id\":\"item-").append(i);
      text.append("\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"");
      text.append(TestFleet.MODEL).append("\",\"max_completion_tokens\":2,\"messages\":");
      text.append("[{\"role\":\"user\",\"content\":\"corridor ").append(i).append("\"}]}}\n");
    }
    return text.toString();
  }
}
