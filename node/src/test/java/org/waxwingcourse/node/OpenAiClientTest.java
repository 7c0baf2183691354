package org.waxwingcourse.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.UnauthorizedException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The unmodified OpenAI client library works with a node. */
class OpenAiClientTest {
  private TestFleet fleet;

  @BeforeEach
  void start() {
    fleet = TestFleet.start(1, 1);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void getsCompletionStreamAndReadableError() {
    OpenAIClient client = client(TestFleet.KEY);
    ChatCompletion answer = client.chat().completions().create(completionRequest("Which rank?"));
    assertThat(answer.choices().get(0).message().content().orElse("")).isNotBlank();
    try (StreamResponse<ChatCompletionChunk> stream =
        client.chat().completions().createStreaming(completionRequest("Which rank?"))) {
      String text =
          stream.stream()
              .flatMap(c -> c.choices().stream())
              .flatMap(c -> c.delta().content().stream())
              .reduce("", String::concat);
      assertThat(text).isEqualTo(answer.choices().get(0).message().content().orElse(""));
    }
    assertThat(client.models().list().data().get(0).id()).isEqualTo(TestFleet.MODEL);
    assertThatThrownBy(() -> client("wrong").chat().completions().create(completionRequest("x")))
        .isInstanceOf(UnauthorizedException.class)
        .hasMessageContaining("the key does not work");
  }

  private OpenAIClient client(String key) {
    return OpenAIOkHttpClient.builder().baseUrl(fleet.url(0) + "/v1").apiKey(key).build();
  }

  private static ChatCompletionCreateParams completionRequest(String text) {
    return ChatCompletionCreateParams.builder()
        .model(TestFleet.MODEL)
        .addUserMessage(text)
        .maxCompletionTokens(8)
        .build();
  }
}
