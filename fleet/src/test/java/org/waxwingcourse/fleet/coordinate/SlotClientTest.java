package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** What a host does about messages that are lost. */
class SlotClientTest {
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final List<Sent> sent = new ArrayList<>();
  private final List<String> heard = new ArrayList<>();
  private final SlotClient client = new SlotClient(peers(), clock, DataCentreId.of("dc"));

  @BeforeEach
  void attach() {
    client.attach(A);
    sent.clear();
  }

  private record Sent(HostId to, FleetMessage message) {}

  private Peers peers() {
    return FleetFixtures.peers((to, message) -> sent.add(new Sent(to, message)));
  }

  private long ask() {
    return ask(client);
  }

  private long ask(SlotClient client) {
    SlotWish wish =
        new SlotWish(
            RequestId.of("r"),
            ServiceName.of("s"),
            WorkClass.ONLINE,
            0,
            Option.some(OrganisationId.of("parish")),
            Deadline.after(clock, Duration.ofMillis(200)),
            Deadline.after(clock, Duration.ofSeconds(2)),
            List.of(),
            Set.of());
    return client.ask(
        wish,
        new SlotListener() {
          @Override
          public void onGrant(UpstreamId engine, Duration waited) {
            heard.add("grant " + engine);
          }

          @Override
          public void onRefusal(boolean overRate, Instant retryAt, String reason) {
            heard.add("refusal");
          }

          @Override
          public void onYield() {
            heard.add("yield");
          }
        });
  }

  private List<Sent> asks() {
    return sent.stream().filter(s -> s.message.hasAsk()).toList();
  }

  private static SlotGrant grant(long number, String engine) {
    return SlotGrant.newBuilder().setNumber(number).setEngine(engine).build();
  }

  @Test
  void whatIsNotDecidedIsAskedAgainAndChargedOnce() {
    ask();
    client.tick();
    assertThat(asks()).hasSize(1);
    clock.advance(Duration.ofMillis(310));
    client.tick();
    assertThat(asks()).hasSize(2);
    assertThat(asks().get(0).message.getAsk().getCharge()).isTrue();
    assertThat(asks().get(1).message.getAsk().getCharge()).isFalse();
  }

  @Test
  void whatIsAskedBeforeACoordinatorIsKnownWaitsAndIsChargedWhereItIsSentFirst() {
    SlotClient starting = new SlotClient(peers(), clock, DataCentreId.of("dc"));
    ask(starting);
    clock.advance(Duration.ofMillis(310));
    starting.tick();
    assertThat(sent).isEmpty();
    starting.attach(B);
    assertThat(asks()).hasSize(1);
    assertThat(asks().get(0).to).isEqualTo(B);
    assertThat(asks().get(0).message.getAsk().getCharge()).isTrue();
  }

  @Test
  void whatIsDecidedIsNotAskedAgain() {
    client.onGrant(A, grant(ask(), "e1"));
    clock.advance(Duration.ofSeconds(1));
    client.tick();
    assertThat(asks()).hasSize(1);
    assertThat(heard).containsExactly("grant e1");
  }

  @Test
  void aNewCoordinatorIsToldWhatRunsAndAskedForWhatWaits() {
    long running = ask();
    client.onGrant(A, grant(running, "e1"));
    ask();
    sent.clear();
    client.attach(B);
    assertThat(sent).allMatch(s -> s.to.equals(B));
    assertThat(sent.get(0).message.getRunning().getRunsList())
        .extracting(r -> r.getNumber() + r.getEngine())
        .containsExactly(running + "e1");
    assertThat(asks()).hasSize(1);
  }

  @Test
  void aSecondSlotForTheSameRequestGoesBack() {
    long number = ask();
    client.onGrant(A, grant(number, "e1"));
    client.onGrant(A, grant(number, "e1"));
    assertThat(sent).noneMatch(s -> s.message.hasEnd());
    client.onGrant(B, grant(number, "e2"));
    assertThat(sent.get(sent.size() - 1).to).isEqualTo(B);
    assertThat(sent.get(sent.size() - 1).message.hasEnd()).isTrue();
    assertThat(heard).containsExactly("grant e1");
  }

  @Test
  void aSlotForWhatWasWithdrawnGoesBack() {
    long number = ask();
    client.withdraw(number);
    client.onGrant(A, grant(number, "e1"));
    assertThat(sent.get(sent.size() - 1).message.hasEnd()).isTrue();
    assertThat(heard).isEmpty();
  }

  @Test
  void aRunIsToldAgainUntilItEnds() {
    long number = ask();
    client.onGrant(A, grant(number, "e1"));
    clock.advance(Duration.ofSeconds(2));
    client.tick();
    assertThat(sent.get(sent.size() - 1).message.getRunning().getRunsCount()).isEqualTo(1);
    client.end(number, RunEnd.of(RunEnd.How.WHOLE));
    clock.advance(Duration.ofSeconds(2));
    client.tick();
    assertThat(sent.get(sent.size() - 1).message.getRunning().getRunsCount()).isZero();
  }
}
