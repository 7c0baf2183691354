package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;

/** Old files and jobs go, and nothing that a live job needs. */
class SweepTest {
  private final World world = new World(9);

  private List<String> keys(String part) {
    return world.store.peek(KeyRange.ofPrefix("/waxwing/batch/")).entries().stream()
        .map(Entry::key)
        .filter(k -> k.contains(part))
        .toList();
  }

  private void days(World.Host host, int days) {
    for (int i = 0; i < days * 48; i++) {
      world.advance(Duration.ofMinutes(30));
      host.step();
    }
  }

  @Test
  void everythingOfAnEndedJobGoesAfterItsDeadline() {
    World.Host a = world.host("a");
    Job job = world.accepted(a, 40, true);
    world.finish(a, job.id(), List.of(a));
    days(a, 29);
    world.observe(a, job);
    world.history.complete(40);
    days(a, 10);
    assertThat(keys(job.id().value())).isEmpty();
    assertThat(keys("/files/")).isEmpty();
    assertThat(keys("/expiry/")).isEmpty();
  }

  @Test
  void abandonedUploadGoesAfterADay() {
    World.Host dying = world.host("dying", 5, false);
    try {
      dying.upload(World.lines(0, 80));
    } catch (HostKilled e) {
      assertThat(keys("/files/")).isNotEmpty();
    }
    days(world.host("a"), 4);
    assertThat(keys("/files/")).isEmpty();
    assertThat(keys("/expiry/")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 40, 80})
  void inputOfALiveJobStaysHoweverOldTheFile(int window) {
    World.Host a = world.host("a");
    BatchFile file = a.upload(World.lines(0, 40)).get();
    days(a, 29);
    world.engine.script =
        item ->
            new Outcome.Refused(
                new Refusal(
                    RefusalCode.OVERLOADED,
                    "full",
                    world.clock.instant().plus(Duration.ofHours(6))));
    Job job = a.jobs.create(World.newJob(file, true, window + "d", Optional.empty())).get();
    days(a, window / 2 + 1);
    world.engine.script = item -> new Outcome.Done();
    Job ended = world.finish(a, job.id(), List.of(a));
    world.history.complete(40);
    assertThat(ended.counts().succeeded() + ended.counts().failed()).isEqualTo(40);
    days(a, 25);
    world.observe(a, job);
    world.history.complete(40);
    assertThat(a.results.input(file.id(), file.input(), 0).get()).hasSize(World.CHUNK_ITEMS);
    assertThat(a.jobs.file(World.ORGANISATION, file.id()).isRight()).isTrue();
  }
}
