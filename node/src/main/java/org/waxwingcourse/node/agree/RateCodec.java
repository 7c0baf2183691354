package org.waxwingcourse.node.agree;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.policy.rate.RateMessage;
import org.waxwingcourse.wire.rate.TokenAskMessage;
import org.waxwingcourse.wire.rate.TokenGrantMessage;
import org.waxwingcourse.wire.rate.TokenReturnMessage;

/** Encodes and decodes messages about rate tokens. */
final class RateCodec {
  private RateCodec() {}

  static byte[] encode(RateMessage message) {
    var body = org.waxwingcourse.wire.rate.RateMessage.newBuilder();
    String organisation = message.organisation().value();
    if (message instanceof RateMessage.Ask m) {
      body.setAsk(
          TokenAskMessage.newBuilder()
              .setId(m.id())
              .setOrganisation(organisation)
              .setWanted(m.wanted())
              .setSpare(m.spare()));
    } else if (message instanceof RateMessage.Grant m) {
      body.setGrant(
          TokenGrantMessage.newBuilder()
              .setAsk(m.ask())
              .setOrganisation(organisation)
              .setGrant(m.grant())
              .setAmount(m.amount())
              .setValidNanos(m.valid().toNanos())
              .setNextTokenNanos(m.nextToken().toNanos()));
    } else if (message instanceof RateMessage.Return m) {
      body.setReturn(
          TokenReturnMessage.newBuilder()
              .setOrganisation(organisation)
              .setGrant(m.grant())
              .setUnspent(m.unspent()));
    }
    return body.build().toByteArray();
  }

  static Either<String, RateMessage> decode(byte[] bytes) {
    try {
      var body = org.waxwingcourse.wire.rate.RateMessage.parseFrom(bytes);
      switch (body.getBodyCase()) {
        case ASK:
          return Either.right(decode(body.getAsk()));
        case GRANT:
          return Either.right(decode(body.getGrant()));
        case RETURN:
          return Either.right(decode(body.getReturn()));
        default:
          return Either.left("message body is missing or unknown");
      }
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Either.left(e.getMessage());
    }
  }

  private static RateMessage decode(TokenAskMessage m) {
    return new RateMessage.Ask(
        m.getId(), OrganisationId.of(m.getOrganisation()), m.getWanted(), m.getSpare());
  }

  private static RateMessage decode(TokenGrantMessage m) {
    return new RateMessage.Grant(
        m.getAsk(),
        OrganisationId.of(m.getOrganisation()),
        m.getGrant(),
        m.getAmount(),
        Duration.ofNanos(m.getValidNanos()),
        Duration.ofNanos(m.getNextTokenNanos()));
  }

  private static RateMessage decode(TokenReturnMessage m) {
    return new RateMessage.Return(
        OrganisationId.of(m.getOrganisation()), m.getGrant(), m.getUnspent());
  }
}
