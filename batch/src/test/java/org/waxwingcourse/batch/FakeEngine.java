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

/** Counts the runs of each item and answers each run differently, so that two runs show. */
final class FakeEngine {
  private static final Pattern ITEM = Pattern.compile("item-[0-9]+");

  final Map<String, Integer> runs = new HashMap<>();
  final Deque<Running> running = new ArrayDeque<>();
  final Deque<Running> hung = new ArrayDeque<>();
  Function<String, Outcome> script = item -> new Outcome.Done();
  Supplier<String> text = () -> "";
  boolean answersAtOnce = true;
  boolean cancelsLate;
  int started;
  int cancelled;

  /** One item that was sent and not answered. */
  record Running(String item, AnswerListener listener, BooleanSupplier dead) {}

  /** Returns a host's way to the engine; what a dead host sent is never answered to it. */
  ItemSender senderOf(BooleanSupplier dead) {
    return (request, listener) -> submit(request, listener, dead);
  }

  private Call submit(ItemSender.Outgoing request, AnswerListener listener, BooleanSupplier dead) {
    Matcher m = ITEM.matcher(request.item().body());
    String item = m.find() ? m.group() : "?";
    started++;
    runs.merge(item, 1, Integer::sum);
    Running run = new Running(item, listener, dead);
    if (answersAtOnce) {
      answer(run);
      return () -> {};
    }
    running.add(run);
    return () -> cancel(run);
  }

  private void cancel(Running run) {
    if (cancelsLate) {
      return;
    }
    if (running.remove(run) || hung.remove(run)) {
      cancelled++;
      run.listener().onEnd(new Outcome.Unknown("cancelled"));
    }
  }

  /** Answers the items that wait, at most {@code most}. */
  void answerWaiting(int most) {
    for (int i = 0; i < most && !running.isEmpty(); i++) {
      answer(running.poll());
    }
  }

  private void answer(Running run) {
    if (run.dead().getAsBoolean()) {
      return;
    }
    Outcome outcome = script.apply(run.item());
    if (outcome == null) {
      hung.add(run);
      return;
    }
    if (outcome instanceof Outcome.Done) {
      String body =
          "{\"item\":\""
              + run.item()
              + "\",\"run\":"
              + started
              + ",\"text\":\""
              + text.get()
              + "\"}";
      run.listener().onStart(200, "application/json");
      run.listener().onChunk(body.getBytes(StandardCharsets.UTF_8));
    }
    run.listener().onEnd(outcome);
  }

  int runsAgain() {
    return runs.values().stream().mapToInt(n -> n - 1).sum();
  }
}
