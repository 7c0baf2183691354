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

/** A job over real nodes, engines and the platform stand-in, while the host that took it stops. */
class BatchFleetTest {
  private static final int ITEMS = 520;

  @TempDir Path folder;

  @Test
  void jobOutlivesTheHostThatTookItAndIsReadAnywhere() throws IOException {
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
