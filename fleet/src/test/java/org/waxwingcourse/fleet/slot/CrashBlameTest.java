package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;

/** The parts of prompts under which engines crash are found, and sound ones are not blamed. */
class CrashBlameTest {
  private static final HostId HOST = HostId.of("host-1");
  private static final HostId OTHER_HOST = HostId.of("host-2");
  private static final long SHARED = 1;
  private static final long CRASHING = 2;
  private static final long SOUND = 3;
  private static final Duration FIRST_EVENT = Duration.ofMillis(40);
  private static final long UNKNOWN_PROCESS = 0;

  private final CrashBlame blame = new CrashBlame();
  private final List<Set<Long>> verdicts = new ArrayList<>();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private static RequestFingerprint request(long n) {
    return new RequestFingerprint(n, n, 1);
  }

  private static Either<RequestId, RequestFingerprint> item(long n) {
    return Either.left(RequestId.of("item-" + n));
  }

  private RunId start(HostId host, String engine, long... shared) {
    long own = lastNumber + 1;
    return start(host, engine, Either.right(request(own)), prompt(own, shared));
  }

  private RunId start(
      HostId host, String engine, Either<RequestId, RequestFingerprint> request, List<Long> parts) {
    RunId id = new RunId(host, ++lastNumber);
    blame.recordStart(id, UpstreamId.of(engine), parts, request, now);
    return id;
  }

  /** Returns the shared parts and one that belongs to the request itself. */
  private static List<Long> prompt(long own, long... shared) {
    return LongStream.concat(LongStream.of(shared), LongStream.of(1_000_000 + own))
        .boxed()
        .toList();
  }

  private RunId start(String engine, long... shared) {
    return start(HOST, engine, shared);
  }

  private void end(RunId run, RunEnd.How how, Duration firstEvent) {
    RunEnd end = new RunEnd(how, firstEvent, Duration.ZERO, 0);
    verdicts.addAll(blame.recordEnd(run, end, UNKNOWN_PROCESS, now));
  }

  private void breakOff(RunId run) {
    end(run, RunEnd.How.ENGINE_BROKE_OFF, Duration.ZERO);
  }

  private void breakOffWithEvent(RunId run) {
    end(run, RunEnd.How.ENGINE_BROKE_OFF, FIRST_EVENT);
  }

  private void complete(RunId run) {
    end(run, RunEnd.How.WHOLE, FIRST_EVENT);
  }

  private void advance(long millis) {
    for (long i = 0; i < millis; i += 20) {
      now = now.plusMillis(20);
      verdicts.addAll(blame.update(now));
    }
  }

  /** Crashes an engine on one run. */
  private void crash(String engine, long... shared) {
    RunId run = start(engine, shared);
    advance(60);
    breakOff(run);
    advance(400);
  }

  private void seeSound(String engine, long... shared) {
    RunId run = start(engine, shared);
    advance(60);
    complete(run);
  }

  @Test
  void secondCrashOnOnePartMakesAVerdict() {
    seeSound("e-0", SHARED);
    crash("e-1", SHARED, CRASHING);
    assertThat(verdicts).isEmpty();
    crash("e-2", SHARED, CRASHING);
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void partsThatNoEventTellsApartShareAVerdictUntilOneIsSeenSound() {
    crash("e-1", SHARED, CRASHING);
    crash("e-2", SHARED, CRASHING);
    assertThat(verdicts).containsExactly(Set.of(SHARED, CRASHING));
    verdicts.clear();
    seeSound("e-3", SHARED, SOUND);
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void furtherCrashConfirmsTheVerdict() {
    seeSound("e-0", SHARED);
    crash("e-1", SHARED, CRASHING);
    crash("e-2", SHARED, CRASHING);
    crash("e-3", SHARED, CRASHING);
    assertThat(verdicts).containsExactly(Set.of(CRASHING), Set.of(CRASHING));
  }

  @Test
  void soundRunBesideACrashIsNotBlamed() {
    seeSound("e-0", SHARED);
    for (String engine : List.of("e-1", "e-2")) {
      RunId crashing = start(engine, SHARED, CRASHING);
      RunId sound = start(OTHER_HOST, engine, SHARED, SOUND);
      advance(60);
      breakOffWithEvent(sound);
      breakOff(crashing);
      advance(400);
    }
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void runsThatAreIndistinguishableForTwoCrashesAreToldApartByTheThird() {
    seeSound("e-0", SHARED);
    for (String engine : List.of("e-1", "e-2")) {
      RunId crashing = start(engine, SHARED, CRASHING);
      RunId sound = start(OTHER_HOST, engine, SHARED, SOUND);
      advance(60);
      breakOff(sound);
      breakOff(crashing);
      advance(400);
    }
    assertThat(verdicts).isEmpty();
    crash("e-3", SHARED, CRASHING);
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void crashOnAPromptWithAVerdictIncriminatesNoOtherPart() {
    seeSound("e-0", SHARED);
    crash("e-1", SHARED, CRASHING);
    crash("e-2", SHARED, CRASHING);
    for (String engine : List.of("e-3", "e-4", "e-5")) {
      RunId crashing = start(engine, SHARED, CRASHING);
      RunId sound = start(OTHER_HOST, engine, SHARED, SOUND);
      advance(60);
      breakOff(sound);
      breakOff(crashing);
      advance(400);
      assertThat(blame.isSuspect(List.of(SHARED, SOUND, 9L))).isFalse();
    }
    assertThat(Set.copyOf(verdicts)).containsExactly(Set.of(CRASHING));
  }

  @Test
  void enginesThatEndTogetherCountOnce() {
    List<RunId> runs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      runs.add(start("e-" + i, SHARED, SOUND));
    }
    advance(60);
    runs.forEach(this::breakOff);
    advance(1000);
    assertThat(verdicts).isEmpty();
    assertThat(blame.isSuspect(List.of(SHARED, SOUND, 9L))).isTrue();
  }

  @Test
  void retryThatMeetsTheSameWaveOfCrashesMakesNoVerdict() {
    List<RunId> others = new ArrayList<>();
    RunId first = start("e-0", SHARED, SOUND);
    for (int i = 1; i < 6; i++) {
      others.add(start("e-" + i, SHARED, 100 + i));
    }
    advance(40);
    breakOff(first);
    RunId retry = start("e-5", SHARED, SOUND);
    advance(40);
    others.forEach(this::breakOffWithEvent);
    breakOff(retry);
    advance(1000);
    assertThat(verdicts).isEmpty();
  }

  @Test
  void lostAnswerOnAnEngineThatGoesOnIsNoCrash() {
    for (int i = 0; i < 5; i++) {
      RunId lost = start("e-1", SHARED, SOUND);
      RunId other = start("e-1", SHARED, 7);
      RunId another = start("e-1", SHARED, 8);
      advance(60);
      breakOff(lost);
      advance(600);
      complete(other);
      complete(another);
    }
    assertThat(verdicts).isEmpty();
    assertThat(blame.isSuspect(List.of(SOUND, 9L))).isFalse();
  }

  @Test
  void loneRunThatBreaksOffIsNoCrashOnceItsEngineAnswersAgain() {
    for (int i = 0; i < 5; i++) {
      crash("e-1", SHARED, SOUND);
      assertThat(blame.isSuspect(List.of(SOUND, 9L))).isTrue();
      seeSound("e-1", SHARED, 7);
      assertThat(blame.isSuspect(List.of(SOUND, 9L))).isFalse();
    }
    assertThat(verdicts).isEmpty();
  }

  @Test
  void crashIsFoundAlthoughOneEndIsMissing() {
    seeSound("e-0", SHARED);
    for (String engine : List.of("e-1", "e-2")) {
      RunId crashing = start(engine, SHARED, CRASHING);
      RunId sound = start(OTHER_HOST, engine, SHARED, SOUND);
      start(OTHER_HOST, engine, SHARED, 8);
      advance(60);
      breakOff(crashing);
      advance(100);
      breakOffWithEvent(sound);
      advance(400);
    }
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void crashIsKnownWithoutWaitingForTheLastEnds() {
    seeSound("e-0", SHARED);
    for (String engine : List.of("e-1", "e-2")) {
      RunId crashing = start(engine, SHARED, CRASHING);
      RunId sound = start(OTHER_HOST, engine, SHARED, SOUND);
      start(OTHER_HOST, engine, SHARED, 8);
      advance(60);
      breakOffWithEvent(sound);
      breakOff(crashing);
    }
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void runsOfALostHostDoNotHideACrash() {
    seeSound("e-0", SHARED);
    for (String engine : List.of("e-1", "e-2")) {
      RunId crashing = start(engine, SHARED, CRASHING);
      start(OTHER_HOST, engine, SHARED, SOUND);
      start(OTHER_HOST, engine, SHARED, 8);
      advance(60);
      blame.removeHost(OTHER_HOST);
      breakOff(crashing);
      advance(400);
    }
    assertThat(verdicts).containsExactly(Set.of(CRASHING));
  }

  @Test
  void partThatWasSeenSoundTakesMoreCrashes() {
    seeSound("e-0", SHARED, SOUND);
    for (int i = 1; i <= 3; i++) {
      crash("e-" + i, SHARED, SOUND);
    }
    assertThat(verdicts).isEmpty();
    crash("e-4", SHARED, SOUND);
    assertThat(verdicts).containsExactly(Set.of(SHARED, SOUND));
  }

  @Test
  void eventAcquits() {
    crash("e-1", SHARED, SOUND);
    assertThat(blame.isSuspect(List.of(SOUND, 9L))).isTrue();
    seeSound("e-2", SHARED, SOUND);
    assertThat(blame.isSuspect(List.of(SOUND, 9L))).isFalse();
    crash("e-3", SHARED, SOUND);
    assertThat(verdicts).isEmpty();
  }

  @Test
  void lastPartIsNeverBlamed() {
    for (int i = 0; i < 8; i++) {
      RunId run = start(HOST, "e-" + i, item(i), List.of(CRASHING));
      advance(60);
      breakOff(run);
      advance(400);
    }
    assertThat(verdicts).isEmpty();
    assertThat(blame.isSuspect(List.of(CRASHING))).isFalse();
  }

  @Test
  void floodOfPartsDoesNotGrowTheState() {
    for (int i = 0; i < 100_000; i++) {
      RunId run = start("e-" + i % 500, 10_000 + i, 1_000_000 + i);
      if (i % 3 == 0) {
        breakOff(run);
      } else if (i % 3 == 1) {
        complete(run);
      }
    }
    assertThat(blame.size()).isLessThan(80_000);
  }

  private void startAndBreakOff(String engine, long request, long... parts) {
    List<Long> prompt = LongStream.of(parts).boxed().toList();
    RunId id = start(HOST, engine, Either.right(request(request)), prompt);
    advance(100);
    breakOff(id);
    advance(2000);
  }

  private void crashItem(String engine, long item, long... shared) {
    RunId run = start(HOST, engine, item(item), prompt(item, shared));
    advance(60);
    breakOff(run);
    advance(400);
  }

  /**
   * An item whose engines ended twice for another reason held up all items with its prompt part.
   */
  @Test
  void crashesOfOneItemThatIsTriedAgainSayNothingAboutItsPrompt() {
    for (int i = 0; i < 6; i++) {
      crashItem("e-" + i, 1, SHARED);
    }
    assertThat(verdicts).isEmpty();
    crashItem("e-6", 2, SHARED);
    assertThat(verdicts).containsExactly(Set.of(SHARED));
  }

  private void breakOff(RunId run, long process) {
    RunEnd end = RunEnd.of(RunEnd.How.ENGINE_BROKE_OFF);
    verdicts.addAll(blame.recordEnd(run, end, process, now));
  }

  private void crashTwice(long firstProcess, long secondProcess) {
    for (long process : List.of(firstProcess, secondProcess)) {
      RunId run = start("e-1", SHARED);
      advance(60);
      breakOff(run, process);
      advance(300);
    }
  }

  /** Runs sent to engines that were still down counted as a second crash of their prompts. */
  @Test
  void processThatHasCrashedDoesNotCrashAgain() {
    crashTwice(1, 1);
    assertThat(verdicts).isEmpty();
  }

  @Test
  void engineThatHasStartedAnewMayCrashAgain() {
    crashTwice(1, 2);
    assertThat(verdicts).containsExactly(Set.of(SHARED));
  }

  /** Hosts of earlier versions do not name the process. */
  @Test
  void engineOfAnUnknownProcessMayCrashAgain() {
    crashTwice(UNKNOWN_PROCESS, UNKNOWN_PROCESS);
    assertThat(verdicts).containsExactly(Set.of(SHARED));
  }

  /** One request that crashes engines was taken for a fault of all requests with its parts. */
  @Test
  void crashesOfOneRequestThatComesAgainSayNothingAboutItsPrompt() {
    for (int i = 0; i < 6; i++) {
      startAndBreakOff("e-" + i, 77, SHARED, CRASHING, 70);
    }
    assertThat(verdicts).isEmpty();
  }

  @Test
  void partIsFoundWhenAnotherRequestCrashesOnItToo() {
    startAndBreakOff("e-1", 77, SHARED, CRASHING, 70);
    startAndBreakOff("e-2", 77, SHARED, CRASHING, 70);
    startAndBreakOff("e-3", 78, SOUND, CRASHING, 71);
    assertThat(verdicts).contains(Set.of(CRASHING));
  }

  @Test
  void crashesUnderARequestThatIsKnownToCrashEnginesIncriminateNoPartThatWasSound() {
    complete(start("e-0", SHARED));
    blame.blameRequest(request(77));
    for (int i = 1; i <= 6; i++) {
      startAndBreakOff("e-" + i, i % 2 == 0 ? 77 : 1000 + i, SHARED, 70 + i);
    }
    assertThat(verdicts).isEmpty();
  }

  /** Each of them crashes engines often enough to be refused as a request. */
  @Test
  void partThatWasSoundIsFoundThoughEachOfItsRequestsIsRefusedToo() {
    complete(start("e-0", SHARED, CRASHING));
    for (int i = 1; i <= 10; i++) {
      blame.blameRequest(request(100 + i / 2));
      startAndBreakOff("e-" + i, 100 + i / 2, SHARED, CRASHING, 70 + i / 2);
    }
    assertThat(verdicts).isNotEmpty();
  }
}
