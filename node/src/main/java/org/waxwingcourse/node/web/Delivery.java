package org.waxwingcourse.node.web;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.time.Instant;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Delivers an answer to the caller and ends the request if the caller goes away first. */
final class Delivery {

  private final Gate gate;
  private final Context context;
  private final AnswerStream answer;

  Delivery(Gate gate, Context context, AnswerStream answer) {
    this.gate = gate;
    this.context = context;
    this.answer = answer;
  }

  /** Sends the answer as it comes; {@code call} is cancelled when the caller is gone. */
  void begin(Call call) {
    cancelWhenGone(call);
    answer.abandoned().thenRun(call::cancel);
    answer.broken().thenRun(this::closeAfterLastChunk);
    Promise.<AnswerStream.Start>async(down -> answer.start().thenAccept(down::success))
        .then(this::send);
  }

  /** Ends the answer because the caller's key has stopped working. */
  void withdraw(Call call) {
    String message = "the key was withdrawn while the request ran";
    ApiError error = ApiError.of(new Refusal(RefusalCode.INVALID_KEY, message, Instant.EPOCH));
    answer.abort(error);
    call.cancel();
  }

  private void send(AnswerStream.Start start) {
    if (start.end() != null && !(start.end() instanceof Outcome.Done)) {
      ApiError.of(start.end()).send(context, gate.now());
      return;
    }
    context.getResponse().status(start.status());
    context.getResponse().contentType(start.contentType());
    if (start.contentType().startsWith(AnswerStream.EVENT_STREAM)) {
      context.getResponse().getHeaders().set("Cache-Control", "no-cache");
    }
    context.getResponse().sendStream(answer);
  }

  private void closeAfterLastChunk() {
    Channel channel = context.getDirectChannelAccess().getChannel();
    channel
        .eventLoop()
        .execute(
            () ->
                channel
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE));
  }

  private void cancelWhenGone(Call call) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    GenericFutureListener<Future<Void>> onClose = closed -> call.cancel();
    channel.closeFuture().addListener(onClose);
    answer.end().thenRun(() -> channel.closeFuture().removeListener(onClose));
  }
}
