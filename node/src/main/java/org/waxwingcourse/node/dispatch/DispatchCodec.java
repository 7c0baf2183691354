package org.waxwingcourse.node.dispatch;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.queue.EngineLoad;
import org.waxwingcourse.wire.DispatchEnd;
import org.waxwingcourse.wire.DispatchLoad;
import org.waxwingcourse.wire.DispatchSubmit;

/**
 * Encodes and decodes requests, outcomes and loads as messages. Points in time are sent as
 * remaining milliseconds.
 */
final class DispatchCodec {
  private DispatchCodec() {}

  static DispatchSubmit encode(InferenceRequest request, UpstreamId engine, Instant now) {
    return DispatchSubmit.newBuilder()
        .setRequest(request.id().value())
        .setOrganisation(request.organisation().value())
        .setModel(request.model().value())
        .setEngine(engine.value())
        .setBatch(request.workClass() == WorkClass.BATCH)
        .setBody(request.body())
        .setStream(request.stream())
        .setDeadlineMillis(request.deadline().remaining(now).toMillis())
        .build();
  }

  static InferenceRequest decode(DispatchSubmit submit, Instant now) {
    return new InferenceRequest(
        RequestId.of(submit.getRequest()),
        OrganisationId.of(submit.getOrganisation()),
        ModelName.of(submit.getModel()),
        submit.getBatch() ? WorkClass.BATCH : WorkClass.ONLINE,
        submit.getBody(),
        submit.getStream(),
        "",
        Deadline.at(now.plusMillis(submit.getDeadlineMillis())));
  }

  static DispatchEnd encode(Outcome outcome, int chunks, Instant now) {
    DispatchEnd.Builder end = DispatchEnd.newBuilder().setChunks(chunks);
    if (outcome instanceof Outcome.Refused refused) {
      Refusal refusal = refused.refusal();
      long wait = Math.max(0, Duration.between(now, refusal.retryAt()).toMillis());
      end.setKind(DispatchEnd.Kind.REFUSED)
          .setCode(refusal.code().name())
          .setMessage(refusal.message())
          .setRetryMillis(wait);
    } else if (outcome instanceof Outcome.Failed failed) {
      end.setKind(DispatchEnd.Kind.FAILED).setStatus(failed.status()).setMessage(failed.message());
    } else if (outcome instanceof Outcome.Unknown unknown) {
      end.setKind(DispatchEnd.Kind.UNKNOWN).setMessage(unknown.message());
    }
    return end.build();
  }

  static Outcome decode(DispatchEnd end, int chunksReceived, Instant now) {
    return switch (end.getKind()) {
      case DONE ->
          end.getChunks() == chunksReceived
              ? new Outcome.Done()
              : new Outcome.Unknown("a part of the response was lost between hosts");
      case REFUSED ->
          new Outcome.Refused(
              new Refusal(
                  RefusalCode.valueOf(end.getCode()),
                  end.getMessage(),
                  now.plusMillis(end.getRetryMillis())));
      case FAILED -> new Outcome.Failed(end.getStatus(), end.getMessage());
      default -> new Outcome.Unknown(end.getMessage());
    };
  }

  static DispatchLoad encode(UpstreamId engine, EngineLoad load, boolean takesWork) {
    return DispatchLoad.newBuilder()
        .setEngine(engine.value())
        .setSlots(load.slots())
        .setOnline(load.online())
        .setBatch(load.batch())
        .setOnlineWaiting(load.onlineWaiting())
        .setBatchWaiting(load.batchWaiting())
        .setTakesWork(takesWork)
        .build();
  }

  static EngineLoad decode(DispatchLoad load) {
    return new EngineLoad(
        load.getSlots(),
        load.getOnline(),
        load.getBatch(),
        load.getOnlineWaiting(),
        load.getBatchWaiting());
  }
}
