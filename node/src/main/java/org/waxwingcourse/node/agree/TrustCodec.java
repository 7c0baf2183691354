package org.waxwingcourse.node.agree;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Delta;
import org.waxwingcourse.policy.configuration.Part;
import org.waxwingcourse.policy.trust.TrustMessage;
import org.waxwingcourse.policy.trust.Versions;
import org.waxwingcourse.wire.configuration.AnswerMessage;
import org.waxwingcourse.wire.configuration.AskMessage;
import org.waxwingcourse.wire.configuration.CloseMessage;
import org.waxwingcourse.wire.configuration.ConfigurationMessage;
import org.waxwingcourse.wire.configuration.DeltaValue;
import org.waxwingcourse.wire.configuration.PartValue;

/** Encodes and decodes messages about versions and evidence. */
final class TrustCodec {
  private static final long NANOS_PER_MICRO = 1_000;

  private TrustCodec() {}

  static byte[] encode(TrustMessage message) {
    ConfigurationMessage.Builder body = ConfigurationMessage.newBuilder();
    if (message instanceof TrustMessage.Ask m) {
      body.setAsk(
          AskMessage.newBuilder()
              .setId(m.id())
              .setIncarnation(m.incarnation())
              .setConfiguration(m.versions().configuration().value())
              .setRoster(m.versions().roster().value()));
    } else if (message instanceof TrustMessage.Answer m) {
      body.setAnswer(encode(m));
    } else if (message instanceof TrustMessage.CloseRoster m) {
      body.setClose(CloseMessage.newBuilder().setId(m.id()).setRoster(m.roster().value()));
    } else if (message instanceof TrustMessage.RosterClosed m) {
      body.setClose(
          CloseMessage.newBuilder().setId(m.id()).setRoster(m.roster().value()).setClosed(true));
    }
    return body.build().toByteArray();
  }

  static Either<String, TrustMessage> decode(byte[] bytes) {
    try {
      ConfigurationMessage body = ConfigurationMessage.parseFrom(bytes);
      switch (body.getBodyCase()) {
        case ASK:
          return Either.right(decode(body.getAsk()));
        case ANSWER:
          return Either.right(decode(body.getAnswer()));
        case CLOSE:
          return Either.right(decode(body.getClose()));
        default:
          return Either.left("message body is missing or unknown");
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Either.left(e.getMessage());
    }
  }

  private static AnswerMessage encode(TrustMessage.Answer m) {
    AnswerMessage.Builder answer =
        AnswerMessage.newBuilder()
            .setId(m.id())
            .setIncarnation(m.incarnation())
            .setConfiguration(m.versions().configuration().value())
            .setRoster(m.versions().roster().value())
            .setExtendsRoster(m.extendsRoster());
    m.evidenceAge()
        .ifPresent(
            age ->
                answer
                    .setHasEvidence(true)
                    .setEvidenceAgeMicros(age.toNanos() / NANOS_PER_MICRO + 1));
    m.configuration().ifPresent(d -> answer.setConfigurationDelta(encode(d)));
    m.roster().ifPresent(d -> answer.setRosterDelta(encode(d)));
    return answer.build();
  }

  private static DeltaValue encode(Delta delta) {
    DeltaValue.Builder value =
        DeltaValue.newBuilder().setBase(delta.base().value()).setTarget(delta.target().value());
    for (Part part : delta.parts()) {
      value.addParts(
          PartValue.newBuilder()
              .setName(part.name())
              .setModified(part.modified().value())
              .setContent(ByteString.copyFrom(part.content())));
    }
    return value.build();
  }

  private static TrustMessage decode(AskMessage m) {
    return new TrustMessage.Ask(
        m.getId(), m.getIncarnation(), versions(m.getConfiguration(), m.getRoster()));
  }

  private static TrustMessage decode(AnswerMessage m) {
    Optional<Duration> age =
        m.getHasEvidence()
            ? Optional.of(Duration.ofNanos(m.getEvidenceAgeMicros() * NANOS_PER_MICRO))
            : Optional.empty();
    return new TrustMessage.Answer(
        m.getId(),
        m.getIncarnation(),
        versions(m.getConfiguration(), m.getRoster()),
        age,
        m.getExtendsRoster(),
        m.hasConfigurationDelta()
            ? Optional.of(decode(m.getConfigurationDelta()))
            : Optional.empty(),
        m.hasRosterDelta() ? Optional.of(decode(m.getRosterDelta())) : Optional.empty());
  }

  private static TrustMessage decode(CloseMessage m) {
    Revision roster = Revision.of(m.getRoster());
    return m.getClosed()
        ? new TrustMessage.RosterClosed(m.getId(), roster)
        : new TrustMessage.CloseRoster(m.getId(), roster);
  }

  private static Delta decode(DeltaValue value) {
    List<Part> parts =
        value.getPartsList().stream()
            .map(
                p ->
                    Part.of(
                        p.getName(), Revision.of(p.getModified()), p.getContent().toByteArray()))
            .toList();
    return Delta.of(Revision.of(value.getBase()), Revision.of(value.getTarget()), parts);
  }

  private static Versions versions(long configuration, long roster) {
    return Versions.of(Revision.of(configuration), Revision.of(roster));
  }
}
