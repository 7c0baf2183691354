package org.waxwingcourse.fleet.relay;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.engine.StatedLimit;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.ItemHeader;
import org.waxwingcourse.wire.fleet.RelayEnd;
import org.waxwingcourse.wire.fleet.RelayHead;
import org.waxwingcourse.wire.fleet.RelayRequest;

/** Converts requests to engines and their answers to messages between hosts and back. */
final class RelayCodec {
  private RelayCodec() {}

  static RelayRequest encode(EngineRequest request, long number, long boot, Instant now) {
    RelayRequest.Builder message =
        RelayRequest.newBuilder()
            .setNumber(number)
            .setBoot(boot)
            .setRequest(request.id().value())
            .setEngine(request.engine().id().value())
            .setEngineStartedMillis(request.engine().startedAtMillis())
            .setService(request.engine().service().value())
            .setMethod(request.method())
            .setTarget(request.target())
            .addAllHeaders(encode(request.headers()))
            .setBody(encode(request.body()))
            .setOrganisation(request.organisation().map(OrganisationId::value).getOrElse(""))
            .setRemainingNanos(request.deadline().remaining(now).toNanos());
    request.resumeAfter().forEach(n -> message.setResumes(true).setResumeAfter(n));
    return message.build();
  }

  static EngineRequest decode(RelayRequest message, EngineEntry engine, Instant now) {
    return new EngineRequest(
        RequestId.of(message.getRequest()),
        engine,
        message.getMethod(),
        message.getTarget(),
        decode(message.getHeadersList()),
        message.getBody().toByteArray(),
        Option.when(
            !message.getOrganisation().isEmpty(),
            () -> OrganisationId.of(message.getOrganisation())),
        Option.when(message.getResumes(), message::getResumeAfter),
        Deadline.at(now.plusNanos(message.getRemainingNanos())));
  }

  static RelayHead encode(EngineAnswer answer) {
    RelayHead.Builder message =
        RelayHead.newBuilder()
            .setStatus(answer.status())
            .addAllHeaders(encode(answer.headers()))
            .setVerdict(RelayHead.Verdict.valueOf(answer.verdict().name()))
            .setCloseDelimited(answer.closeDelimited())
            .setLeaving(answer.leaving());
    if (answer.limit() instanceof StatedLimit.Limit named) {
      message.setLimited(true).setRequestsPerSecond(named.rate().perSecond());
    } else if (answer.limit() instanceof StatedLimit.Unreadable unreadable) {
      message.setLimitUnreadable(true).setLimitText(unreadable.text());
    }
    return message.build();
  }

  static EngineAnswer decode(RelayHead message) {
    return new EngineAnswer(
        message.getStatus(),
        decode(message.getHeadersList()),
        decode(message.getVerdict()),
        message.getCloseDelimited(),
        message.getLeaving(),
        decodeLimit(message));
  }

  /** A verdict of a later version is taken for an answer that cannot be placed. */
  private static EngineAnswer.Verdict decode(RelayHead.Verdict verdict) {
    return verdict == RelayHead.Verdict.UNRECOGNIZED
        ? EngineAnswer.Verdict.MISMATCHED
        : EngineAnswer.Verdict.valueOf(verdict.name());
  }

  private static StatedLimit decodeLimit(RelayHead message) {
    if (message.getLimitUnreadable()) {
      return new StatedLimit.Unreadable(message.getLimitText());
    }
    return Option.when(message.getLimited(), message.getRequestsPerSecond())
        .flatMap(RequestRate::of)
        .<StatedLimit>map(StatedLimit.Limit::new)
        .getOrElse(StatedLimit.NONE);
  }

  static RelayEnd.Builder encode(Option<CallFailure> failure) {
    RelayEnd.Builder message = RelayEnd.newBuilder();
    for (CallFailure f : failure) {
      message
          .setKind(RelayEnd.Kind.valueOf(f.kind().name()))
          .setMessage(f.message())
          .setRefused(f.connectionRefused());
    }
    return message;
  }

  static Option<CallFailure> decode(RelayEnd message) {
    return switch (message.getKind()) {
      case COMPLETE -> Option.none();
      case UNRECOGNIZED ->
          Option.some(new CallFailure(CallFailure.Kind.LINK_LOST, message.getMessage()));
      default ->
          Option.some(
              new CallFailure(
                  CallFailure.Kind.valueOf(message.getKind().name()),
                  message.getMessage(),
                  message.getRefused()));
    };
  }

  /** Wraps bytes that nobody changes any longer. */
  static ByteString encode(byte[] bytes) {
    return UnsafeByteOperations.unsafeWrap(bytes);
  }

  private static List<ItemHeader> encode(List<Header> headers) {
    return headers.stream()
        .map(h -> ItemHeader.newBuilder().setName(h.name()).setValue(h.value()).build())
        .toList();
  }

  private static List<Header> decode(List<ItemHeader> headers) {
    return headers.stream().map(h -> Header.of(h.getName(), h.getValue())).toList();
  }
}
