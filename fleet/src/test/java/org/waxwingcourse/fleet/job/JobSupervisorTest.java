package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Transaction;

class JobSupervisorTest {
  private static final JobId JOB = JobId.of("job-1");
  private static final HostId SELF = HostId.of("self");
  private static final HostId LIVE = HostId.of("live");
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(1500);

  /** Target: the longest time for which an accepted job may go unrun. */
  private static final Duration UNRUN_LIMIT = Duration.ofSeconds(15);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore store = MemoryStore.of(clock);
  private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
  private final List<HostId> assignedHosts = new ArrayList<>();
  private final JobSupervisor supervisor =
      new JobSupervisor(
          store,
          storeView,
          clocks,
          new JobService(
              SELF,
              1,
              new JobService.Ports(
                  store,
                  new HostEntryRegistration(
                      FleetFixtures.host(SELF, 1),
                      store,
                      storeView,
                      clocks,
                      timer,
                      new SecureRandom()),
                  FleetFixtures.recordingPeers(
                      (to, message) -> {
                        if (message.hasJobAssigned()) {
                          assignedHosts.add(to);
                        }
                      }),
                  clock,
                  clock,
                  timer,
                  new Random(1),
                  storeView,
                  new EngineDirectory(storeView.engineTable(), e -> Option.none()),
                  (request, listener) -> () -> {},
                  new SlotClient(
                      FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of),
                  headers -> List.of(),
                  h -> RequestSize.UNKNOWN)));

  @BeforeEach
  void listLiveHost() {
    Revision created = Revision.of(1);
    storeView
        .hostTable()
        .replaceFromRead(
            new Snapshot(
                Revision.of(2),
                List.of(
                    new Entry(
                        StoreKeys.hostKey(LIVE, 2),
                        FleetFixtures.host(LIVE, 2).encode(),
                        created,
                        created,
                        LeaseId.NONE))));
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void storeRunner(RunnerName name) {
    store.write(Transaction.builder().put(StoreKeys.runnerKey(JOB), name.encode()).build()).join();
  }

  private void check(Duration duration) {
    for (Duration d = Duration.ZERO; d.compareTo(duration) < 0; d = d.plus(CHECK_INTERVAL)) {
      supervisor.checkRunners();
      clock.advance(CHECK_INTERVAL);
    }
  }

  @Test
  void jobOfAnEndedProcessIsAssignedAtOnce() {
    storeRunner(new RunnerName(LIVE, 1));
    check(CHECK_INTERVAL);
    assertThat(assignedHosts).containsExactly(LIVE);
  }

  /** An entry of another writer, under the prefix alone, kept all jobs without a runner. */
  @Test
  void runnerEntryWithoutAJobHidesNoOtherJob() {
    store.write(Transaction.builder().put(StoreKeys.RUNNERS_PREFIX, new byte[] {1}).build()).join();
    storeRunner(new RunnerName(LIVE, 1));
    check(CHECK_INTERVAL);
    assertThat(assignedHosts).containsExactly(LIVE);
  }

  /** A host that had dropped a job kept it from all others for as long as it lived. */
  @Test
  void runnerOfAJobIsRemindedOfIt() {
    storeRunner(new RunnerName(LIVE, 2));
    check(UNRUN_LIMIT);
    assertThat(assignedHosts).isNotEmpty().containsOnly(LIVE);
    assertThat(assignedHosts.size()).as("messages").isLessThanOrEqualTo(2);
  }
}
