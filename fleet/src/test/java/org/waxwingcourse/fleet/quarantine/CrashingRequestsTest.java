package org.waxwingcourse.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.UpstreamId;

/** Tests which requests are refused since engines end under them, and how hosts join counts. */
class CrashingRequestsTest {
  private static final RequestFingerprint REQUEST = request(1, 1);
  private static final int MANY = 5_000;

  private final CrashingRequests requests = new CrashingRequests();
  private final CrashingRequests others = new CrashingRequests();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private static RequestFingerprint request(long digest, int owner) {
    return new RequestFingerprint(digest, digest, owner);
  }

  private static EngineBoot engine(long n) {
    return new EngineBoot(UpstreamId.of("engine-" + n), 1000 + n);
  }

  private void crash(CrashingRequests table, RequestFingerprint request, int from, int until) {
    for (int i = from; i <= until; i++) {
      table.recordCrash(request, engine(i), now);
    }
  }

  private boolean isAdmitted(CrashingRequests table, RequestFingerprint request) {
    return table.admit(new RunId(HostId.of("host"), ++lastNumber), request, now).isEmpty();
  }

  private void pass(CrashingRequests from, CrashingRequests to) {
    from.changesAfter(0, MANY).forEach(c -> to.merge(c.record(), now));
  }

  @Test
  void thirdEngineThatEndsMakesTheVerdict() {
    crash(requests, REQUEST, 1, 2);
    assertThat(isAdmitted(requests, REQUEST)).isTrue();
    assertThat(requests.recordCrash(REQUEST, engine(3), now).isDefined()).isTrue();
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
    assertThat(isAdmitted(requests, request(2, 1))).isTrue();
  }

  @Test
  void engineThatTwoHostsSawEndingCountsOnce() {
    for (int i = 0; i < 5; i++) {
      requests.recordCrash(REQUEST, engine(7), now);
    }
    assertThat(isAdmitted(requests, REQUEST)).isTrue();
  }

  @Test
  void nextBootOfAnEngineCountsAnew() {
    for (int i = 0; i < 3; i++) {
      requests.recordCrash(REQUEST, new EngineBoot(UpstreamId.of("engine"), i), now);
    }
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
  }

  @Test
  void wholeAnswerClearsTheRequestOnAllHosts() {
    crash(requests, REQUEST, 1, 3);
    pass(requests, others);
    assertThat(isAdmitted(others, REQUEST)).isFalse();
    others.recordWhole(REQUEST, now);
    pass(others, requests);
    pass(requests, others);
    assertThat(isAdmitted(requests, REQUEST)).isTrue();
    assertThat(isAdmitted(others, REQUEST)).isTrue();
    crash(requests, REQUEST, 4, 5);
    assertThat(isAdmitted(requests, REQUEST)).as("counts start anew").isTrue();
  }

  @Test
  void hostsThatSawDifferentCrashesReachTheVerdictTogether() {
    crash(requests, REQUEST, 1, 1);
    crash(others, REQUEST, 2, 3);
    pass(requests, others);
    assertThat(isAdmitted(others, REQUEST)).isFalse();
    pass(others, requests);
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
    assertThat(requests.refusedUntil(REQUEST, now).get()).isAfter(now);
  }

  @Test
  void exchangeOfWhatBothKnowEnds() {
    crash(requests, REQUEST, 1, 3);
    pass(requests, others);
    long before = requests.version();
    now = now.plus(CrashingRequests.FIRST_PROBE_DELAY).plusSeconds(5);
    pass(others, requests);
    pass(requests, others);
    pass(others, requests);
    assertThat(requests.version()).isEqualTo(before);
  }

  @Test
  void fewRequestsAreLetThroughHoweverLongItGoesOn() {
    crash(requests, REQUEST, 1, 3);
    int sent = 0;
    for (int minute = 0; minute < 100_000; minute++) {
      now = now.plus(Duration.ofMinutes(1));
      if (isAdmitted(requests, REQUEST)) {
        requests.recordGrant(REQUEST, now);
        requests.recordCrash(REQUEST, engine(10 + minute), now);
        sent++;
      }
      if (minute % 10_000 == 0) {
        requests.recordCrash(request(minute, 2), engine(1), now);
      }
    }
    assertThat(sent).isEqualTo(CrashingRequests.MAX_PROBES);
  }

  @Test
  void numberOfThoseLetThroughIsKnownToOtherHosts() {
    crash(requests, REQUEST, 1, 3);
    now = now.plus(CrashingRequests.FIRST_PROBE_DELAY).plusMillis(1);
    assertThat(isAdmitted(requests, REQUEST)).isTrue();
    requests.recordGrant(REQUEST, now);
    pass(requests, others);
    assertThat(isAdmitted(others, REQUEST)).isFalse();
  }

  @Test
  void oneRequestIsLetThroughAtATime() {
    crash(requests, REQUEST, 1, 3);
    now = now.plus(CrashingRequests.FIRST_PROBE_DELAY).plusMillis(1);
    assertThat(isAdmitted(requests, REQUEST)).isTrue();
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
    now = now.plusSeconds(10);
    assertThat(isAdmitted(requests, REQUEST)).as("the first was never granted a slot").isTrue();
  }

  @Test
  void messageKeepsWhatItSays() {
    crash(requests, REQUEST, 1, 3);
    ClockReading here = new ClockReading(now, Instant.ofEpochSecond(50_000));
    ClockReading there = new ClockReading(Instant.ofEpochSecond(7), Instant.ofEpochSecond(50_000));
    CrashRecord record = requests.withCrashes(3).get(0);
    CrashRecord decoded =
        CrashRecordCodec.decode(List.of(CrashRecordCodec.encode(record, here)), there).get(0);
    assertThat(decoded.request()).isEqualTo(REQUEST);
    assertThat(decoded.engines()).isEqualTo(record.engines());
    assertThat(Duration.between(there.steady(), decoded.probeAt().get().at()))
        .isEqualTo(CrashingRequests.FIRST_PROBE_DELAY);
  }

  @Test
  void verdictsAreKeptWhenManyOtherRequestsShareEnginesThatEnd() {
    crash(requests, REQUEST, 1, 3);
    for (int i = 0; i < MANY; i++) {
      requests.recordCrash(request(100 + i, i % 50), engine(i), now);
    }
    assertThat(requests.size()).isLessThanOrEqualTo(CrashingRequests.MAX_RECORDS);
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
  }

  @Test
  void organisationWithManySuchRequestsDoesNotPushOutThoseOfOthers() {
    crash(requests, REQUEST, 1, 3);
    for (int i = 0; i < MANY; i++) {
      crash(requests, request(100 + i, 2), 1, 3);
    }
    assertThat(requests.size()).isEqualTo(CrashingRequests.MAX_RECORDS_PER_OWNER + 1);
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
  }

  @Test
  void suspectsAreForgottenInTime() {
    crash(requests, request(5, 1), 1, 2);
    now = now.plus(Duration.ofHours(2));
    crash(requests, REQUEST, 1, 1);
    assertThat(requests.size()).isEqualTo(1);
  }

  @Test
  void secondEngineThatHasCertainlyEndedMakesTheVerdict() {
    crash(requests, REQUEST, 1, 2);
    requests.recordEndedEngine(engine(1).hash(), now);
    assertThat(isAdmitted(requests, REQUEST)).as("the other answer may be lost").isTrue();
    assertThat(requests.recordEndedEngine(engine(2).hash(), now))
        .extracting(CrashRecord::request)
        .containsExactly(REQUEST);
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
    pass(requests, others);
    assertThat(isAdmitted(others, REQUEST)).as("at a host that was only told").isFalse();
  }

  @Test
  void engineThatIsKnownToHaveEndedCountsForRequestsReportedLater() {
    crash(requests, REQUEST, 1, 1);
    requests.recordEndedEngine(engine(1).hash(), now);
    requests.recordEndedEngine(engine(2).hash(), now);
    assertThat(requests.recordCrash(REQUEST, engine(2), now).isDefined()).isTrue();
  }

  @Test
  void engineThatEndedUnderARefusedRequestCountsLessAgainstOthers() {
    RequestFingerprint bystander = request(8, 1);
    for (int i = 1; i <= 2; i++) {
      crash(requests, REQUEST, i, i);
      requests.recordEndedEngine(engine(i).hash(), now);
      crash(requests, bystander, i, i);
    }
    assertThat(isAdmitted(requests, REQUEST)).isFalse();
    assertThat(isAdmitted(requests, bystander)).isTrue();
    crash(requests, bystander, 3, 3);
    assertThat(isAdmitted(requests, bystander)).as("after three engines").isFalse();
  }
}
