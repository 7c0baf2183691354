package org.waxwingcourse.fleet.relay;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.RelayAnswer;

/** Requests, answers and listeners that the tests of this package share. */
final class RelayFixtures {
  static final long BOOT = 7;
  static final Instant START = Instant.EPOCH.plusSeconds(1000);
  static final HostId ASKING = HostId.of("asking");
  static final HostId RELAYING = HostId.of("relaying");
  static final EngineEntry ENGINE =
      new EngineEntry(
          UpstreamId.of("engine"),
          ServiceName.of("s"),
          new InetSocketAddress("127.0.0.1", 1),
          FleetFixtures.DATA_CENTRE,
          8,
          false,
          3);
  static final EngineAnswer HEAD =
      new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false);

  private RelayFixtures() {}

  static EngineRequest request() {
    return new EngineRequest(
        RequestId.of("r"),
        ENGINE,
        "POST",
        "/q/x?y=%20",
        List.of(Header.of("A", "1"), Header.of("a", "2")),
        new byte[] {0, -1, 13, 10},
        Option.some(OrganisationId.of("o")),
        Option.some(0L),
        Deadline.at(START.plusSeconds(5)));
  }

  static RelayAnswer headPart(long number, int position) {
    return part(number, position).setHead(RelayCodec.encode(HEAD)).build();
  }

  static RelayAnswer bodyPart(long number, int position, String text) {
    return part(number, position).setBody(RelayCodec.encode(text.getBytes())).build();
  }

  static RelayAnswer endPart(long number, int position) {
    return part(number, position).setEnd(RelayCodec.encode(Option.none())).build();
  }

  private static RelayAnswer.Builder part(long number, int position) {
    return RelayAnswer.newBuilder().setBoot(BOOT).setNumber(number).setPosition(position);
  }

  /** Messages in the order in which they were sent. */
  static final class Messages {
    private final List<FleetMessage> sent = new ArrayList<>();
    private final List<HostId> receivers = new ArrayList<>();

    void add(HostId to, FleetMessage message) {
      sent.add(message);
      receivers.add(to);
    }

    List<FleetMessage> of(FleetMessage.BodyCase kind) {
      return sent.stream().filter(m -> m.getBodyCase() == kind).toList();
    }

    List<HostId> receivers() {
      return receivers;
    }
  }

  /** Records an answer as text, one word for each call. */
  static final class RecordingListener implements EngineListener {
    final List<String> calls = new ArrayList<>();
    final List<EngineAnswer> heads = new ArrayList<>();

    @Override
    public void onHead(EngineAnswer head) {
      calls.add("head");
      heads.add(head);
    }

    @Override
    public void onBytes(byte[] bytes) {
      calls.add(new String(bytes));
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      calls.add(failure.map(f -> f.kind().name()).getOrElse("whole"));
    }
  }

  static Duration millis(long count) {
    return Duration.ofMillis(count);
  }
}
