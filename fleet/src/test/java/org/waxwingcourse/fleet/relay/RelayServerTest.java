package org.waxwingcourse.fleet.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.waxwingcourse.fleet.relay.RelayFixtures.ASKING;
import static org.waxwingcourse.fleet.relay.RelayFixtures.BOOT;
import static org.waxwingcourse.fleet.relay.RelayFixtures.HEAD;
import static org.waxwingcourse.fleet.relay.RelayFixtures.millis;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreTable;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage.BodyCase;
import org.waxwingcourse.wire.fleet.RelayAnswer;
import org.waxwingcourse.wire.fleet.RelayCancel;
import org.waxwingcourse.wire.fleet.RelayCheck;
import org.waxwingcourse.wire.fleet.RelayEnd;
import org.waxwingcourse.wire.fleet.RelayRequest;

/** A request of a lost host could hold its engine's slot, or a sound one be cut off. */
class RelayServerTest {
  private static final long NUMBER = 1;

  private final ManualClock clock = ManualClock.at(RelayFixtures.START);
  private final RelayFixtures.Messages messages = new RelayFixtures.Messages();
  private final EngineDirectory engines =
      new EngineDirectory(new StoreTable(), FleetFixtures::readEngine);
  private final List<EngineRequest> sent = new ArrayList<>();
  private final List<EngineListener> listeners = new ArrayList<>();
  private int cancelled;
  private boolean stopping;
  private final RelayServer server =
      new RelayServer(
          FleetFixtures.recordingPeers(messages::add),
          this::sendToEngine,
          engines,
          clock,
          () -> !stopping);

  private StreamCall sendToEngine(EngineRequest request, EngineListener listener) {
    sent.add(request);
    listeners.add(listener);
    return () -> cancelled++;
  }

  private void receive() {
    server.onRequest(ASKING, message());
  }

  private RelayRequest message() {
    return RelayCodec.encode(RelayFixtures.request(), NUMBER, BOOT, clock.instant());
  }

  private void check(long boot, Long... open) {
    server.onCheck(ASKING, RelayCheck.newBuilder().setBoot(boot).addAllOpen(List.of(open)).build());
  }

  private void assertRefused() {
    assertThat(sent).isEmpty();
    assertThat(messages.of(BodyCase.RELAY_ANSWER))
        .extracting(m -> m.getRelayAnswer().getEnd().getKind())
        .containsExactly(RelayEnd.Kind.OUT_OF_REACH);
    assertThat(server.countOpen()).isZero();
  }

  /** The engine worked on for a caller whom nobody could answer. */
  @Test
  void requestOfSilentHostIsCancelled() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    clock.advance(millis(900));
    check(BOOT, NUMBER);
    clock.advance(millis(1200));
    server.cancelAbandoned();
    assertThat(cancelled).isZero();
    clock.advance(millis(1));
    server.cancelAbandoned();
    assertThat(cancelled).isEqualTo(1);
    assertThat(server.countOpen()).isZero();
  }

  /** The message that cancels a request may be lost. */
  @Test
  void requestThatIsNoLongerNamedIsCancelled() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    clock.advance(millis(1001));
    check(BOOT);
    assertThat(cancelled).isEqualTo(1);
    assertThat(server.countOpen()).isZero();
  }

  /** A host that restarts within the limit numbers its requests anew. */
  @Test
  void requestOfEarlierProcessIsCancelledThoughItsNumberIsNamed() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    clock.advance(millis(1001));
    check(BOOT + 1, NUMBER);
    assertThat(cancelled).isEqualTo(1);
  }

  /** A check that was composed before the request arrives after it. */
  @Test
  void olderCheckDoesNotCancelARequestThatWasJustReceived() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    clock.advance(millis(100));
    check(BOOT);
    assertThat(cancelled).isZero();
    assertThat(server.countOpen()).isEqualTo(1);
  }

  /** A request whose message was lost must be told from one that an engine is slow to answer. */
  @Test
  void checkNamesExactlyTheUnknownRequests() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    check(BOOT, NUMBER, NUMBER + 1);
    assertThat(messages.of(BodyCase.RELAY_CHECK_ANSWER).get(0).getRelayCheckAnswer())
        .satisfies(a -> assertThat(a.getUnknownList()).containsExactly(NUMBER + 1));
  }

  /** A request that began while the host stopped was cut off at its end. */
  @Test
  void stoppingHostSendsNothing() {
    engines.learn(RelayFixtures.ENGINE);
    stopping = true;
    receive();
    assertRefused();
  }

  @Test
  void hostThatDoesNotListTheEngineSendsNothing() {
    receive();
    assertRefused();
  }

  /** Another process of the engine may have forgotten what the request goes on with. */
  @Test
  void hostThatListsAnotherProcessOfTheEngineSendsNothing() {
    engines.learn(RelayFixtures.ENGINE);
    server.onRequest(ASKING, message().toBuilder().setEngineStartedMillis(2).build());
    assertRefused();
  }

  /** The connection may repeat a message; a request that may not be repeated ran twice. */
  @Test
  void requestThatArrivesTwiceIsSentOnce() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    receive();
    assertThat(sent).hasSize(1);
  }

  @Test
  void cancelReachesTheEngineAndTheEndIsStillNumbered() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    listeners.get(0).onHead(HEAD);
    server.onCancel(ASKING, RelayCancel.newBuilder().setBoot(BOOT).setNumber(NUMBER).build());
    assertThat(cancelled).isEqualTo(1);
    listeners.get(0).onEnd(Option.some(new CallFailure(CallFailure.Kind.CANCELLED, "cancelled")));
    assertThat(messages.of(BodyCase.RELAY_ANSWER))
        .extracting(m -> m.getRelayAnswer().getPosition())
        .containsExactly(0, 1);
  }

  /** A gap in the numbers would end a sound answer as lost. */
  @Test
  void partsAreNumberedInOrder() {
    engines.learn(RelayFixtures.ENGINE);
    receive();
    listeners.get(0).onHead(HEAD);
    listeners.get(0).onBytes("a".getBytes());
    listeners.get(0).onEnd(Option.none());
    assertThat(messages.of(BodyCase.RELAY_ANSWER))
        .extracting(m -> m.getRelayAnswer().getPartCase())
        .containsExactly(
            RelayAnswer.PartCase.HEAD, RelayAnswer.PartCase.BODY, RelayAnswer.PartCase.END);
    assertThat(server.countOpen()).isZero();
  }
}
