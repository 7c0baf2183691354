package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

class StreamExchangeTest {
  private static final HostId RECEIVER = HostId.of("receiver");
  private static final long RECEIVER_BOOT = 50;
  private static final SoftwareId SOFTWARE = new SoftwareId(7);
  private static final Instant NOW = Instant.ofEpochSecond(1000);

  private final StreamOrigins known = new StreamOrigins();
  private final StreamExchange receiver =
      new StreamExchange(RECEIVER_BOOT, new StreamOrigins(), known);

  /** A host's process with its streams. */
  private static final class Sender {
    private final long boot;
    private final StreamOrigins own = new StreamOrigins();
    private final StreamExchange exchange;

    Sender(long boot) {
      this.boot = boot;
      exchange = new StreamExchange(boot, own, new StreamOrigins());
    }

    Ping ping() {
      Ping.Builder ping = Ping.newBuilder().setBoot(boot);
      exchange.addTo(ping, RECEIVER, NOW);
      return ping.build();
    }
  }

  private Pong receive(Ping ping) {
    receiver.apply(ping, NOW);
    Pong.Builder pong = Pong.newBuilder().setBoot(RECEIVER_BOOT);
    receiver.addTo(pong, ping);
    return pong.build();
  }

  /** Changes are numbered from 1 in each process, so that the first ones would never be told. */
  @Test
  void confirmationForAnEarlierProcessConfirmsNoStreamOfTheNext() {
    Sender ended = new Sender(1);
    ended.exchange.apply(RECEIVER, receive(ended.ping()));
    for (int i = 0; i < 3; i++) {
      ended.own.record(new StreamKey(i), SOFTWARE, NOW);
    }
    Pong late = receive(ended.ping());

    Sender next = new Sender(2);
    next.exchange.apply(RECEIVER, late);
    StreamKey stream = new StreamKey(100);
    next.own.record(stream, SOFTWARE, NOW);
    receive(next.ping());
    assertThat(known.find(stream, NOW)).contains(SOFTWARE);
  }

  @Test
  void confirmedStreamsAreNotToldAgain() {
    Sender sender = new Sender(1);
    sender.own.record(new StreamKey(1), SOFTWARE, NOW);
    sender.exchange.apply(RECEIVER, receive(sender.ping()));
    sender.exchange.apply(RECEIVER, receive(sender.ping()));
    assertThat(sender.ping().getStreams().getStreamsCount()).isZero();
  }
}
