package org.waxwingcourse.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;

/**
 * Passes answers of the store on to what handles them. A future keeps what its continuation throws
 * to itself; without a receiver of that failure, a loop of calls would end unnoticed.
 */
public final class StoreAnswers {
  private static final EventLog LOG = EventLog.of(StoreAnswers.class);

  private StoreAnswers() {}

  /**
   * Passes an answer on.
   *
   * @param call the call, for logs
   * @param handler receives the answer
   * @param onFailure is told if there is no answer to handle, or if {@code handler} fails on it
   */
  public static <T> void handle(
      CompletableFuture<T> answer,
      String call,
      Consumer<T> handler,
      Consumer<StoreFailure> onFailure) {
    answer
        .thenAccept(handler)
        .exceptionally(
            error -> {
              LOG.write(Event.STORE_ANSWER_UNHANDLED, call, error.toString());
              onFailure.accept(new StoreFailure(StoreFailure.Kind.MALFORMED, error.toString()));
              return null;
            });
  }
}
