package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingcourse.batch.cache.DiskCache;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.batch.record.Job;

/** A host's disk that fills, breaks or lies changes no answer. */
class DiskCacheTest {
  private static final int ITEMS = 40;

  @TempDir Path folder;

  private final World world = new World(3);
  private final World.Host host = world.host("a");

  private void observe(Job job, DiskCache cache) {
    Results results = new Results(host.calls, cache);
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < job.input().chunks(); i++) {
      lines.addAll(results.chunk(job, i, Results.SUCCEEDED).get());
    }
    world.history.read(lines);
  }

  @Test
  void copiesSaveReadsAndBrokenOnesAreReadAnew() throws IOException {
    Job job = world.accepted(host, ITEMS, true);
    DiskCache cache = DiskCache.of(folder, 1 << 20);
    observe(job, cache);
    world.finish(host, job.id(), List.of(host));
    observe(job, cache);
    world.history.complete(ITEMS);
    long reads = world.store.counts().reads();
    observe(job, cache);
    assertThat(world.store.counts().reads()).isEqualTo(reads);
    for (Path file : Files.list(folder).toList()) {
      Files.write(file, new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9});
    }
    observe(job, cache);
    assertThat(world.store.counts().reads()).isEqualTo(reads + job.input().chunks());
  }

  @Test
  void fullOrLostDiskHoldsNothingUp() throws IOException {
    Job job = world.accepted(host, ITEMS, true);
    world.finish(host, job.id(), List.of(host));
    observe(job, DiskCache.of(folder, 600));
    long size = 0;
    for (Path file : Files.list(folder).toList()) {
      size += Files.size(file);
    }
    assertThat(size).isLessThanOrEqualTo(600);
    Path notFolder = Files.write(folder.resolve("file"), new byte[1]);
    observe(job, DiskCache.of(notFolder, 600));
  }
}
