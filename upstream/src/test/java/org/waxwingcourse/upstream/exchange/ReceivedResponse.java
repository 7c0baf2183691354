package org.waxwingcourse.upstream.exchange;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamListener;

/** Records a response as text: its body, then how it ended. */
final class ReceivedResponse implements StreamListener {
  private static final long PATIENCE_SECONDS = 20;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final CompletableFuture<Void> head = new CompletableFuture<>();
  private final CompletableFuture<String> end = new CompletableFuture<>();

  @Override
  public void onHead(BufferedHttpResponse received) {
    head.complete(null);
  }

  @Override
  public void onChunk(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    String how = failure.map(f -> f.kind().toString()).getOrElse("COMPLETE");
    end.complete(body.toString(StandardCharsets.US_ASCII) + "|" + how);
  }

  void awaitHead() throws Exception {
    head.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  String await() throws Exception {
    return end.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }
}
