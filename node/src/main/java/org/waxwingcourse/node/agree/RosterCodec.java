package org.waxwingcourse.node.agree;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.List;
import org.waxwingcourse.config.store.ConfigurationKeys;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Document;
import org.waxwingcourse.policy.configuration.Part;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.Roster;
import org.waxwingcourse.wire.configuration.HolderValue;
import org.waxwingcourse.wire.configuration.RosterValue;

/** Encodes and decodes the roster of holders as an entry of the store. */
final class RosterCodec {
  private RosterCodec() {}

  static byte[] encode(Roster roster) {
    RosterValue.Builder value =
        RosterValue.newBuilder()
            .setPrevious(roster.previous().value())
            .setGrownSince(roster.grownSince().value());
    for (Holder h : roster.holders()) {
      value.addHolders(
          HolderValue.newBuilder()
              .setHost(h.host().value())
              .setDataCentre(h.dataCentre().value())
              .setIncarnation(h.incarnation()));
    }
    return value.build().toByteArray();
  }

  static Either<String, Roster> decode(Document document) {
    Part part = document.parts().get(ConfigurationKeys.ROSTER);
    if (part == null) {
      return Either.left("entry \"" + ConfigurationKeys.ROSTER + "\" is missing");
    }
    try {
      RosterValue value = RosterValue.parseFrom(part.content());
      List<Holder> holders = value.getHoldersList().stream().map(RosterCodec::decode).toList();
      Revision previous = Revision.of(value.getPrevious());
      Revision grownSince = Revision.of(value.getGrownSince());
      return Either.right(new Roster(document.revision(), previous, grownSince, holders));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Either.left("entry \"" + ConfigurationKeys.ROSTER + "\": " + e.getMessage());
    }
  }

  private static Holder decode(HolderValue value) {
    return Holder.of(
        HostId.of(value.getHost()), DataCentreId.of(value.getDataCentre()), value.getIncarnation());
  }
}
