package org.waxwingcourse.node.web;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.time.Instant;
import org.waxwingcourse.http.server.ResponseEnd;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Delivers a response to the caller and cancels the request if the caller disconnects first. */
final class ResponseDelivery {

  private final RequestChecks checks;
  private final Context context;
  private final ResponseStream response;

  ResponseDelivery(RequestChecks checks, Context context, ResponseStream response) {
    this.checks = checks;
    this.context = context;
    this.response = response;
  }

  /** Sends the response as it arrives and cancels {@code call} if the caller disconnects. */
  void start(Call call) {
    cancelOnDisconnect(call);
    response.abandoned().thenRun(call::cancel);
    response.truncated().thenRun(() -> ResponseEnd.breakOff(context));
    Promise.<ResponseStream.Start>async(
            downstream -> response.start().thenAccept(downstream::success))
        .then(this::send);
  }

  /** Ends the response with an error because the caller's key was revoked. */
  void endOnRevokedKey(Call call) {
    String message = "the key was revoked while the request was running";
    ApiError error = ApiError.of(new Refusal(RefusalCode.INVALID_KEY, message, Instant.EPOCH));
    response.abort(error);
    call.cancel();
  }

  private void send(ResponseStream.Start start) {
    if (start.outcome() != null && !(start.outcome() instanceof Outcome.Done)) {
      ApiError.of(start.outcome()).send(context, checks.now());
      return;
    }
    context.getResponse().status(start.status());
    context.getResponse().contentType(start.contentType());
    if (start.contentType().startsWith(ResponseStream.EVENT_STREAM)) {
      context.getResponse().getHeaders().set("Cache-Control", "no-cache");
    }
    ResponseEnd.sendInChunks(context);
    context.getResponse().sendStream(response);
  }

  private void cancelOnDisconnect(Call call) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    GenericFutureListener<Future<Void>> onClose = closed -> call.cancel();
    channel.closeFuture().addListener(onClose);
    response.end().thenRun(() -> channel.closeFuture().removeListener(onClose));
  }
}
