package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.JobResults;

/** An entry of another writer among those of jobs hid the jobs after it. */
class ForeignJobEntryTest {
  private static final JobId JOB = JobId.of("job-1");
  private static final Duration RETENTION = Duration.ofSeconds(10);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final MemoryStore store = MemoryStore.of(clock);

  private void put(String key, byte[] value) {
    store.write(Transaction.builder().put(key, value).build()).join();
  }

  @Test
  void recordWithoutAJobKeepsNoExpiredJob() {
    byte[] finished = JobRecord.newBuilder().setClosed(true).build().toByteArray();
    put(StoreKeys.JOBS_PREFIX, finished);
    put(StoreKeys.jobKey(JOB), finished);
    clock.advance(Duration.ofHours(1));
    new ExpiredJobRemover(store, clock, RETENTION).removeExpired();
    assertThat(new JobStore(store).readRecord(JOB).join().get()).isEmpty();
  }

  @Test
  void partWithoutANumberHidesNoOtherPart() {
    JobResult result = JobResult.newBuilder().setItem("i-1").setCompleted(true).build();
    put(StoreKeys.resultsKey(JOB, 0) + "-copy", new byte[] {1});
    put(
        StoreKeys.resultsKey(JOB, 0),
        JobResults.newBuilder().addResults(result).build().toByteArray());
    assertThat(new JobStore(store).readResults(JOB).join().get()).isEqualTo(List.of(result));
  }
}
