package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/**
 * An engine that had said in an answer that it was leaving was used as its entry did not say so.
 */
class LeavingEngineDirectoryTest {
  private static final UpstreamId ENGINE = UpstreamId.of("engine");
  private static final EngineBoot BOOT = new EngineBoot(ENGINE, 1);
  private static final HostId OTHER_HOST = HostId.of("other");
  private static final RequestId REQUEST = RequestId.of("r");

  private final StoreTable table = new StoreTable(FleetFixtures::readEngine);
  private final EngineDirectory directory = new EngineDirectory(table, FleetFixtures::readEngine);
  private final List<Boolean> passedOn = new ArrayList<>();
  private int lastRevision;

  @BeforeEach
  void list() {
    directory.addListener(
        all ->
            all.stream()
                .filter(e -> e.id().equals(ENGINE))
                .forEach(e -> passedOn.add(e.leaving())));
    read(entry(1, false, 1));
  }

  private static Entry entry(int port, boolean leaving, long startedAt) {
    return FleetFixtures.engineEntry(ENGINE.value(), port, 8, leaving, startedAt, 1);
  }

  private void read(Entry... entries) {
    table.replaceFromRead(new Snapshot(Revision.of(++lastRevision), List.of(entries)));
  }

  private Option<Boolean> isLeaving() {
    return directory.findEngine(ENGINE).map(EngineEntry::leaving);
  }

  @Test
  void answerCountsBesideTheEntryAndIsPassedOnAtOnce() {
    directory.markLeaving(BOOT, REQUEST);
    assertThat(isLeaving()).contains(true);
    assertThat(passedOn).containsExactly(false, true);
    assertThat(directory.leavingByAnswer()).containsExactly(BOOT);
  }

  @Test
  void reportOfAnotherHostCountsLikeAnAnswer() {
    directory.learnLeaving(List.of(BOOT), OTHER_HOST);
    assertThat(isLeaving()).contains(true);
    assertThat(passedOn).containsExactly(false, true);
  }

  @Test
  void reportThatComesBeforeTheEntryCountsOnceTheEngineIsListed() {
    read();
    directory.learnLeaving(List.of(BOOT), OTHER_HOST);
    read(entry(1, false, 1));
    assertThat(isLeaving()).contains(true);
  }

  @Test
  void entriesThatComeLaterDoNotTakeItBack() {
    directory.markLeaving(BOOT, REQUEST);
    read(entry(2, false, 1));
    assertThat(isLeaving()).as("an entry that has changed").contains(true);
    read();
    assertThat(isLeaving()).as("unlisted").isEmpty();
    read(entry(1, false, 1));
    assertThat(isLeaving()).as("listed again").contains(true);
    table.replaceFromPeer(
        new StoreTable.Content(
            Revision.of(lastRevision + 1), List.of(entry(1, false, 1)), List.of()));
    assertThat(isLeaving()).as("a table of another host").contains(true);
    read();
    directory.learn(FleetFixtures.readEngine(entry(1, false, 1)).get());
    assertThat(isLeaving()).as("an entry with a grant").contains(true);
  }

  @Test
  void nextBootIsNotLeaving() {
    directory.markLeaving(BOOT, REQUEST);
    read(entry(1, false, 2));
    assertThat(isLeaving()).contains(false);
    assertThat(directory.leavingByAnswer()).isEmpty();
  }

  @Test
  void nextBootThatIsLearnedWithAGrantIsNotLeaving() {
    directory.markLeaving(BOOT, REQUEST);
    directory.learn(FleetFixtures.readEngine(entry(1, false, 2)).get());
    assertThat(isLeaving()).contains(false);
  }

  @Test
  void otherEngineAtTheSameAddressIsNotLeaving() {
    directory.markLeaving(BOOT, REQUEST);
    read(FleetFixtures.engineEntry("next", 1, 8, false, 2, 1));
    assertThat(directory.findEngine(UpstreamId.of("next")).map(EngineEntry::leaving))
        .contains(false);
  }

  @Test
  void engineWhoseEntrySaysSoIsNotReported() {
    directory.markLeaving(BOOT, REQUEST);
    read(entry(1, true, 1));
    assertThat(isLeaving()).contains(true);
    assertThat(directory.leavingByAnswer()).isEmpty();
  }

  @Test
  void marksOfUnlistedEnginesAreBoundedAndThoseOfListedOnesStay() {
    EngineStatements statements = new EngineStatements();
    EngineEntry listed = directory.findEngine(ENGINE).get();
    Map<UpstreamId, EngineEntry> entries = Map.of(ENGINE, listed);
    statements.addLeaving(BOOT, entries);
    IntStream.range(0, 3 * EngineStatements.MAX_UNLISTED)
        .forEach(
            i -> statements.addLeaving(new EngineBoot(UpstreamId.of("gone-" + i), i), entries));
    assertThat(statements.size()).isEqualTo(EngineStatements.MAX_UNLISTED + 1);
    assertThat(statements.applyTo(listed).leaving()).isTrue();
  }
}
