package org.waxwingcourse.fleet.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.waxwingcourse.fleet.relay.RelayFixtures.BOOT;
import static org.waxwingcourse.fleet.relay.RelayFixtures.RELAYING;
import static org.waxwingcourse.fleet.relay.RelayFixtures.millis;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage.BodyCase;
import org.waxwingcourse.wire.fleet.RelayCheckAnswer;

/** A request whose relaying host was lost could be left without an end, or run twice. */
class RelayClientTest {
  private static final int CHECK_MILLIS = 130;
  private static final int SILENCE_CHECKS = 6;

  private final ManualClock clock = ManualClock.at(RelayFixtures.START);
  private final RelayFixtures.Messages messages = new RelayFixtures.Messages();
  private final RelayHosts hosts = new RelayHosts(clock, new Random(1));
  private final RelayClient client =
      new RelayClient(BOOT, FleetFixtures.recordingPeers(messages::add), hosts, clock);
  private final RelayFixtures.RecordingListener answer = new RelayFixtures.RecordingListener();

  private StreamCall send() {
    return client.send(RELAYING, RelayFixtures.request(), answer);
  }

  private long number() {
    return messages.of(BodyCase.RELAY_REQUEST).get(0).getRelayRequest().getNumber();
  }

  private void check(int times) {
    for (int i = 0; i < times; i++) {
      clock.advance(millis(CHECK_MILLIS));
      client.checkOpenRequests();
    }
  }

  private void answerCheck(Long... unknown) {
    client.onCheckAnswer(
        RELAYING,
        RelayCheckAnswer.newBuilder().setBoot(BOOT).addAllUnknown(List.of(unknown)).build());
  }

  private void assertCancelSentFor(long number) {
    assertThat(messages.of(BodyCase.RELAY_CANCEL))
        .extracting(m -> m.getRelayCancel().getNumber())
        .containsExactly(number);
  }

  /** The caller waited until its deadline for a host that was gone. */
  @Test
  void silentHostEndsItsRequestsAsLostAndIsNotChosenAgain() {
    hosts.update(List.of(RELAYING));
    send();
    client.onAnswer(RELAYING, RelayFixtures.headPart(number(), 0));
    check(SILENCE_CHECKS);
    assertThat(answer.calls).containsExactly("head", "LINK_LOST");
    assertCancelSentFor(number());
    assertThat(hosts.choose(Set.of()).isEmpty()).isTrue();
  }

  /** A slow engine is no lost host: its requests would run twice, or end as unknown. */
  @Test
  void hostThatAnswersChecksKeepsRequestsWithoutAnAnswer() {
    send();
    for (int i = 0; i < 10 * SILENCE_CHECKS; i++) {
      check(1);
      answerCheck();
    }
    assertThat(answer.calls).isEmpty();
  }

  /** A first request after a pause was lost at once, as nothing had been heard meanwhile. */
  @Test
  void silenceBeforeARequestDoesNotCount() {
    send();
    client.onAnswer(RELAYING, RelayFixtures.headPart(number(), 0));
    clock.advance(millis(SILENCE_CHECKS * CHECK_MILLIS));
    RelayFixtures.RecordingListener second = new RelayFixtures.RecordingListener();
    client.send(RELAYING, RelayFixtures.request(), second);
    client.checkOpenRequests();
    assertThat(second.calls).isEmpty();
  }

  /** A body without its middle was passed on as whole. */
  @Test
  void lostPartEndsTheRequestBeforeLaterBytes() {
    send();
    client.onAnswer(RELAYING, RelayFixtures.headPart(number(), 0));
    client.onAnswer(RELAYING, RelayFixtures.bodyPart(number(), 2, "late"));
    client.onAnswer(RELAYING, RelayFixtures.endPart(number(), 3));
    assertThat(answer.calls).containsExactly("head", "LINK_LOST");
    assertCancelSentFor(number());
  }

  /** A request whose message was lost waited for an answer until its deadline. */
  @Test
  void requestThatTwoChecksCallUnknownIsLost() {
    send();
    answerCheck(number());
    assertThat(answer.calls).isEmpty();
    answerCheck(number());
    assertThat(answer.calls).containsExactly("LINK_LOST");
  }

  /** The answer to an old check ended a request that was sent after the check. */
  @Test
  void requestThatIsUnknownOnceAndThenKnownGoesOn() {
    send();
    answerCheck(number());
    answerCheck();
    answerCheck(number());
    assertThat(answer.calls).isEmpty();
  }

  /** A host that took over a name or number of another could mix up answers. */
  @Test
  void answersOfOtherHostsAndProcessesAreIgnored() {
    send();
    client.onAnswer(HostId.of("other"), RelayFixtures.headPart(number(), 0));
    client.onAnswer(
        RELAYING, RelayFixtures.headPart(number(), 0).toBuilder().setBoot(BOOT + 1).build());
    assertThat(answer.calls).isEmpty();
  }

  /** Late parts reached a caller after its end. */
  @Test
  void cancelIsPassedOnOnceAndLatePartsChangeNothing() {
    StreamCall call = send();
    call.cancel();
    call.cancel();
    client.onAnswer(RELAYING, RelayFixtures.headPart(number(), 0));
    client.onAnswer(RELAYING, RelayFixtures.endPart(number(), 1));
    answerCheck(number());
    answerCheck(number());
    assertThat(answer.calls).containsExactly("CANCELLED");
    assertCancelSentFor(number());
  }

  /** A large answer that its caller took more slowly than it came was broken off. */
  @Test
  void answerIsHeldInOrderWhileItsReceiverIsBehind() {
    StreamCall call = send();
    client.onAnswer(RELAYING, RelayFixtures.headPart(number(), 0));
    call.setReading(false);
    client.onAnswer(RELAYING, RelayFixtures.bodyPart(number(), 1, "a"));
    client.onAnswer(RELAYING, RelayFixtures.bodyPart(number(), 2, "b"));
    client.onAnswer(RELAYING, RelayFixtures.endPart(number(), 3));
    answerCheck(number());
    answerCheck(number());
    check(SILENCE_CHECKS);
    assertThat(answer.calls).containsExactly("head");
    call.setReading(true);
    assertThat(answer.calls).containsExactly("head", "a", "b", "whole");
  }

  /** Answers that nobody takes would fill the memory of the host. */
  @Test
  void answerOfWhichTooMuchIsHeldIsLost() {
    StreamCall call = send();
    client.onAnswer(RELAYING, RelayFixtures.headPart(number(), 0));
    call.setReading(false);
    String mebibyte = "x".repeat(1 << 20);
    for (int i = 1; i <= 9; i++) {
      client.onAnswer(RELAYING, RelayFixtures.bodyPart(number(), i, mebibyte));
    }
    assertThat(answer.calls).containsExactly("head", "LINK_LOST");
    assertCancelSentFor(number());
    answer.calls.clear();
    client.send(RELAYING, RelayFixtures.request(), answer).setReading(false);
    long second = messages.of(BodyCase.RELAY_REQUEST).get(1).getRelayRequest().getNumber();
    client.onAnswer(RELAYING, RelayFixtures.bodyPart(second, 0, mebibyte));
    assertThat(answer.calls).as("what the first one held is free again").isEmpty();
  }
}
