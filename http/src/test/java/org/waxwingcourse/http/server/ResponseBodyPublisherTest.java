package org.waxwingcourse.http.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** A large piece of a response was taken for a receiver that is too slow. */
class ResponseBodyPublisherTest {
  private static final int LARGEST_PIECE = (1 << 20) + (64 << 10);

  private final ReceiverStandIn receiver = new ReceiverStandIn();
  private int lost;
  private final ResponseBodyPublisher body = new ResponseBodyPublisher(() -> lost++, () -> {});

  @BeforeEach
  void subscribe() {
    body.subscribe(receiver);
  }

  @Test
  void largePieceIsNoSlowReceiver() {
    body.add(new byte[LARGEST_PIECE]);
    CompletableFuture<Void> drained = body.drained();
    assertThat(drained).isNotDone();
    receiver.subscription.request(1);
    assertThat(drained).isDone();
    body.end(true);
    assertThat(receiver.bytes).isEqualTo(LARGEST_PIECE);
    assertThat(receiver.complete).isTrue();
    assertThat(lost).isZero();
  }

  @Test
  void receiverThatTakesNothingIsLostOnceAndHoldsNoSender() {
    CompletableFuture<Void> drained = null;
    for (int i = 0; i < 4; i++) {
      body.add(new byte[1 << 19]);
      drained = body.drained();
    }
    assertThat(lost).isEqualTo(1);
    assertThat(drained).isDone();
    receiver.subscription.request(10);
    assertThat(receiver.bytes).isZero();
  }

  private static final class ReceiverStandIn implements Subscriber<ByteBuf> {
    private Subscription subscription;
    private long bytes;
    private boolean complete;

    @Override
    public void onSubscribe(Subscription granted) {
      subscription = granted;
    }

    @Override
    public void onNext(ByteBuf next) {
      bytes += next.readableBytes();
      next.release();
    }

    @Override
    public void onError(Throwable error) {
      throw new AssertionError(error);
    }

    @Override
    public void onComplete() {
      complete = true;
    }
  }
}
