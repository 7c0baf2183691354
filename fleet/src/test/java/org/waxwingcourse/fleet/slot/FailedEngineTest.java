package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.request.WorkClass;

/**
 * An engine whose last runs had failed got one item at a time until the one that tried it had
 * ended, which may take half a minute. All others waited beside its free slots.
 */
class FailedEngineTest {
  private static final int SLOTS = 8;
  private static final Duration LONGEST_EJECTION = Duration.ofSeconds(3);

  private final SlotSimulation requests = new SlotSimulation(0, SLOTS, 1);
  private final SlotScheduler scheduler = new SlotScheduler();
  private final List<SlotDecision.Grant> grants = new ArrayList<>();
  private Instant now = requests.now;

  private void apply(List<SlotDecision> decisions) {
    decisions.forEach(d -> grants.add((SlotDecision.Grant) d));
  }

  private void submitItem() {
    requests.now = now;
    apply(scheduler.submit(requests.request(WorkClass.BATCH, Duration.ofSeconds(18)), now));
  }

  private void loseRun() {
    submitItem();
    now = now.plusMillis(100);
    apply(scheduler.endRun(grants.remove(0).request().id(), lost(), now));
    now = now.plus(LONGEST_EJECTION);
  }

  private static RunEnd lost() {
    return RunEnd.of(RunEnd.How.ENGINE_LOST);
  }

  private void answer(SlotDecision.Grant grant) {
    now = now.plusMillis(100);
    scheduler.recordAnswer(grant.request().id(), grant.engine());
    apply(scheduler.processQueues(now));
  }

  @BeforeEach
  void failTwiceAndSubmitItems() {
    scheduler.setEngines(List.of(SlotSimulation.engine("engine", SLOTS, false)), SLOTS, now);
    loseRun();
    loseRun();
    for (int i = 0; i < 2 * SLOTS; i++) {
      submitItem();
    }
  }

  @Test
  void engineGetsItsFullShareWithTheFirstDataOfItsProbe() {
    assertThat(grants).singleElement().matches(SlotDecision.Grant::probe);
    answer(grants.get(0));
    assertThat(grants).hasSize(SLOTS);
  }

  @Test
  void engineIsProbedAgainAfterTheNextFailure() {
    answer(grants.get(0));
    List<SlotDecision.Grant> running = List.copyOf(grants);
    grants.clear();
    now = now.plusSeconds(1);
    running.forEach(g -> apply(scheduler.endRun(g.request().id(), lost(), now)));
    assertThat(grants).singleElement().matches(SlotDecision.Grant::probe);
  }
}
