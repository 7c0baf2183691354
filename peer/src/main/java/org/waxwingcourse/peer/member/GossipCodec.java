package org.waxwingcourse.peer.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.policy.member.GossipMessage;
import org.waxwingcourse.policy.member.MemberLocation;
import org.waxwingcourse.policy.member.MemberUpdate;
import org.waxwingcourse.wire.GossipFrame;
import org.waxwingcourse.wire.GossipFrame.Kind;
import org.waxwingcourse.wire.MemberLocationFrame;
import org.waxwingcourse.wire.MemberUpdateFrame;

/** Encodes and decodes membership messages as protobuf. */
public final class GossipCodec {
  private static final int MAX_PORT = 65_535;

  private GossipCodec() {}

  /** Returns the encoded form of a message. */
  public static byte[] encode(GossipMessage message) {
    GossipFrame.Builder frame = GossipFrame.newBuilder();
    if (message instanceof GossipMessage.Probe probe) {
      frame.setKind(Kind.PROBE).setSequence(probe.sequence());
    } else if (message instanceof GossipMessage.Ack ack) {
      frame.setKind(Kind.ACK).setSequence(ack.sequence());
    } else if (message instanceof GossipMessage.IndirectProbe probe) {
      frame
          .setKind(Kind.INDIRECT_PROBE)
          .setSequence(probe.sequence())
          .setTarget(probe.target().value());
    } else if (message instanceof GossipMessage.SyncRequest request) {
      frame.setKind(Kind.SYNC_REQUEST).setDigest(request.digest());
    } else if (message instanceof GossipMessage.SyncAnswer answer) {
      frame
          .setKind(Kind.SYNC_ANSWER)
          .setDigest(answer.digest())
          .setAnswerWanted(answer.answerWanted());
    } else {
      frame.setKind(Kind.RUMOURS);
    }
    message.updates().forEach(u -> frame.addUpdates(encode(u)));
    return frame.build().toByteArray();
  }

  private static MemberUpdateFrame encode(MemberUpdate update) {
    MemberUpdateFrame.Builder frame =
        MemberUpdateFrame.newBuilder()
            .setHost(update.host().value())
            .setIncarnation(update.incarnation())
            .setState(MemberUpdateFrame.State.forNumber(update.state().ordinal()));
    update.location().forEach(l -> frame.setLocation(encode(l)));
    return frame.build();
  }

  private static MemberLocationFrame encode(MemberLocation location) {
    return MemberLocationFrame.newBuilder()
        .setDataCentre(location.dataCentre().value())
        .setCallerAddress(location.callerAddress().toString())
        .setPeerIp(location.peerAddress().getHostString())
        .setPeerPort(location.peerAddress().getPort())
        .build();
  }

  /** Returns the decoded message, or a description of the error if the bytes are not valid. */
  public static Either<String, GossipMessage> decode(byte[] bytes) {
    return Try.of(() -> GossipFrame.parseFrom(bytes))
        .mapTry(GossipCodec::decode)
        .toEither()
        .mapLeft(GossipCodec::describe);
  }

  private static String describe(Throwable error) {
    return error instanceof InvalidProtocolBufferException
        ? "malformed message"
        : "message with an invalid field: " + error.getMessage();
  }

  private static GossipMessage decode(GossipFrame frame) {
    List<MemberUpdate> updates = frame.getUpdatesList().stream().map(GossipCodec::decode).toList();
    return switch (frame.getKind()) {
      case PROBE -> new GossipMessage.Probe(frame.getSequence(), updates);
      case ACK -> new GossipMessage.Ack(frame.getSequence(), updates);
      case INDIRECT_PROBE ->
          new GossipMessage.IndirectProbe(
              frame.getSequence(), HostId.of(frame.getTarget()), updates);
      case RUMOURS -> new GossipMessage.Rumours(updates);
      case SYNC_REQUEST -> new GossipMessage.SyncRequest(frame.getDigest(), updates);
      case SYNC_ANSWER ->
          new GossipMessage.SyncAnswer(frame.getDigest(), frame.getAnswerWanted(), updates);
      case UNRECOGNIZED ->
          throw new IllegalArgumentException("unknown kind " + frame.getKindValue());
    };
  }

  private static MemberUpdate decode(MemberUpdateFrame frame) {
    Option<MemberLocation> location =
        frame.hasLocation() ? Option.some(decode(frame.getLocation())) : Option.none();
    return new MemberUpdate(
        HostId.of(frame.getHost()), frame.getIncarnation(), state(frame), location);
  }

  private static MemberState state(MemberUpdateFrame frame) {
    return switch (frame.getState()) {
      case ALIVE -> MemberState.ALIVE;
      case SUSPECT -> MemberState.SUSPECT;
      case LEAVING -> MemberState.LEAVING;
      case DEAD -> MemberState.DEAD;
      case UNRECOGNIZED ->
          throw new IllegalArgumentException("unknown state " + frame.getStateValue());
    };
  }

  private static MemberLocation decode(MemberLocationFrame frame) {
    if (frame.getPeerPort() < 0 || frame.getPeerPort() > MAX_PORT) {
      throw new IllegalArgumentException("invalid port " + frame.getPeerPort());
    }
    return new MemberLocation(
        DataCentreId.of(frame.getDataCentre()),
        URI.create(frame.getCallerAddress()),
        InetSocketAddress.createUnresolved(frame.getPeerIp(), frame.getPeerPort()));
  }
}
