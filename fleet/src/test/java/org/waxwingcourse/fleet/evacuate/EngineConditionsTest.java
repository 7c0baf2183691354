package org.waxwingcourse.fleet.evacuate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.ServicePlan;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/** Cold engines got as many requests as warm ones, and crashed. */
class EngineConditionsTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final DataCentreId NORTH = DataCentreId.of("north");
  private static final UpstreamId ENGINE = UpstreamId.of("engine-1");
  private static final Duration START_TIME = Duration.ofSeconds(3);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private boolean statesCold = true;
  private final StoreView storeView =
      StoreView.of(
          document -> Either.right(plan()), new Clocks(clock, clock), FleetFixtures::readEngine);
  private final EngineConditions conditions =
      new EngineConditions(storeView, FleetFixtures::readOrder, clock);
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), FleetFixtures::readEngine, conditions);

  EngineConditionsTest() {
    conditions.follow(engines);
  }

  private Plan plan() {
    Plan plan = FleetFixtures.jobPlan();
    Option<ColdTerms> terms =
        Option.when(statesCold, () -> new ColdTerms(new RequestRate(14), START_TIME));
    return new Plan(
        1,
        plan.routes(),
        Map.of(SERVICE, new ServicePlan(SERVICE, 8, terms, 0)),
        plan.limits(),
        plan.organisations());
  }

  private void bringPlanIntoForce() {
    storeView.applyIfNewer(new StoreView.ConfigurationDocument(Revision.of(1), new byte[0]));
  }

  private void write(long revision, Duration cold) {
    Entry entry = FleetFixtures.engineEntry(ENGINE.value(), NORTH, cold, 1, revision);
    storeView.engineTable().applyChanges(Revision.of(revision), List.of(entry), List.of());
  }

  private void readOrders(long revision, Entry... orders) {
    conditions.onRead(new Snapshot(Revision.of(revision), List.of(orders)));
  }

  private boolean isCold() {
    return engines
        .findEngine(ENGINE)
        .get()
        .condition()
        .cold()
        .exists(c -> c.until().isAfter(clock.instant()));
  }

  @Test
  void engineIsColdForAsLongAsItsEntryStates() {
    bringPlanIntoForce();
    write(2, Duration.ofMillis(900));
    assertThat(isCold()).isTrue();
    clock.advance(Duration.ofMillis(899));
    engines.refresh();
    assertThat(isCold()).isTrue();
    clock.advance(Duration.ofMillis(1));
    assertThat(isCold()).isFalse();
  }

  @Test
  void engineMayBecomeColdAgain() {
    bringPlanIntoForce();
    write(2, Duration.ofMillis(900));
    clock.advance(Duration.ofMillis(300));
    write(3, START_TIME);
    clock.advance(START_TIME.minusMillis(1));
    assertThat(isCold()).isTrue();
  }

  @Test
  void coldEngineIsKnownAsSoonAsTheConfigurationSaysWhatItTakes() {
    write(2, Duration.ofMillis(900));
    assertThat(engines.findEngine(ENGINE).get().condition().cold()).isEmpty();
    bringPlanIntoForce();
    assertThat(isCold()).isTrue();
  }

  @Test
  void engineOfADataCentreThatIsNoLongerEvacuatedCountsAsCold() {
    bringPlanIntoForce();
    write(2, Duration.ZERO);
    readOrders(5, FleetFixtures.evacuationOrder("north", 4));
    clock.advance(Duration.ofSeconds(9));
    readOrders(8);
    assertThat(engines.findEngine(ENGINE).get().leaving()).isFalse();
    assertThat(isCold()).isTrue();
    clock.advance(START_TIME);
    assertThat(isCold()).isFalse();
  }

  /** The same content written again is no change of the table. */
  @Test
  void entryWrittenSinceStatesThatTheEngineIsNotCold() {
    bringPlanIntoForce();
    write(2, Duration.ZERO);
    readOrders(5, FleetFixtures.evacuationOrder("north", 4));
    write(7, Duration.ZERO);
    readOrders(8);
    assertThat(conditions.awaitsEntries()).isTrue();
    engines.refresh();
    assertThat(isCold()).as("written before the revocation was read").isTrue();
    write(9, Duration.ZERO);
    engines.refresh();
    assertThat(isCold()).isFalse();
    assertThat(conditions.awaitsEntries()).isFalse();
  }

  /** Otherwise each entry of a cold engine would send the whole table to all hosts. */
  @Test
  void whereColdEnginesTakeAsMuchAsOthersTheirEntriesAreNoChange() {
    statesCold = false;
    bringPlanIntoForce();
    write(2, Duration.ofMillis(900));
    write(3, Duration.ZERO);
    assertThat(storeView.engineTable().revision()).isEqualTo(Revision.of(2));
    assertThat(engines.findEngine(ENGINE).get().condition().cold()).isEmpty();
  }
}
