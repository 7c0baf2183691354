package org.waxwingcourse.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.waxwingcourse.batch.run.ItemSender;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;

/**
 * A fake engine that counts the runs of each item and gives each run a different response, so that
 * the results of two runs can be told apart.
 */
final class FakeEngine {
  private static final Pattern ITEM = Pattern.compile("item-[0-9]+");

  final Map<String, Integer> runs = new HashMap<>();
  final Deque<RunningItem> running = new ArrayDeque<>();
  final Deque<RunningItem> hung = new ArrayDeque<>();
  Function<String, Outcome> outcomes = item -> new Outcome.Done();
  Supplier<String> responseText = () -> "";
  boolean respondsImmediately = true;
  boolean ignoresCancellation;
  int startedItems;
  int cancelledItems;

  /** An item that was sent and has no response yet. */
  record RunningItem(String item, AnswerListener listener, BooleanSupplier hostCrashed) {}

  /** Returns the sender of a host. Items of a crashed host never get a response. */
  ItemSender senderOf(BooleanSupplier hostCrashed) {
    return (request, listener) -> submit(request, listener, hostCrashed);
  }

  private Call submit(
      ItemSender.OutgoingItem request, AnswerListener listener, BooleanSupplier hostCrashed) {
    Matcher match = ITEM.matcher(request.item().body());
    String item = match.find() ? match.group() : "?";
    startedItems++;
    runs.merge(item, 1, Integer::sum);
    RunningItem run = new RunningItem(item, listener, hostCrashed);
    if (respondsImmediately) {
      complete(run);
      return () -> {};
    }
    running.add(run);
    return () -> cancel(run);
  }

  private void cancel(RunningItem run) {
    if (ignoresCancellation) {
      return;
    }
    if (running.remove(run) || hung.remove(run)) {
      cancelledItems++;
      run.listener().onEnd(new Outcome.Unknown("cancelled"));
    }
  }

  /** Completes running items in the order in which they were sent, at most {@code max}. */
  void completeRunning(int max) {
    for (int i = 0; i < max && !running.isEmpty(); i++) {
      complete(running.poll());
    }
  }

  private void complete(RunningItem run) {
    if (run.hostCrashed().getAsBoolean()) {
      return;
    }
    Outcome outcome = outcomes.apply(run.item());
    if (outcome == null) {
      hung.add(run);
      return;
    }
    if (outcome instanceof Outcome.Done) {
      String body =
          "{\"item\":\""
              + run.item()
              + "\",\"run\":"
              + startedItems
              + ",\"text\":\""
              + responseText.get()
              + "\"}";
      run.listener().onStart(200, "application/json");
      run.listener().onChunk(body.getBytes(StandardCharsets.UTF_8));
    }
    run.listener().onEnd(outcome);
  }

  int repeatedRuns() {
    return runs.values().stream().mapToInt(n -> n - 1).sum();
  }
}
