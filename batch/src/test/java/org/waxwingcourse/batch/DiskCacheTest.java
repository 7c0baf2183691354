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
import org.waxwingcourse.batch.job.ResultReader;
import org.waxwingcourse.batch.record.Job;

/** Tests that a full, failed or corrupt cache disk does not change the results that are read. */
class DiskCacheTest {
  private static final int ITEMS = 40;

  @TempDir Path folder;

  private final BatchSimulation simulation = new BatchSimulation(3);
  private final BatchSimulation.Host host = simulation.host("a");

  private void checkSucceededResults(Job job, DiskCache cache) {
    ResultReader results = new ResultReader(host.storeClient, cache);
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < job.input().chunks(); i++) {
      lines.addAll(results.readResults(job, i, ResultReader.SUCCEEDED).get());
    }
    simulation.history.recordRead(lines);
  }

  @Test
  void cachedValuesSaveReadsAndCorruptFilesAreReadAgain() throws IOException {
    Job job = simulation.createJob(host, ITEMS, true);
    DiskCache cache = DiskCache.of(folder, 1 << 20);
    checkSucceededResults(job, cache);
    simulation.runUntilEnded(host, job.id(), List.of(host));
    checkSucceededResults(job, cache);
    simulation.history.requireResults(ITEMS);
    long reads = simulation.store.counts().reads();
    checkSucceededResults(job, cache);
    assertThat(simulation.store.counts().reads()).isEqualTo(reads);
    for (Path file : Files.list(folder).toList()) {
      Files.write(file, new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9});
    }
    checkSucceededResults(job, cache);
    assertThat(simulation.store.counts().reads()).isEqualTo(reads + job.input().chunks());
  }

  @Test
  void fullOrUnusableDiskDoesNotBlockReads() throws IOException {
    Job job = simulation.createJob(host, ITEMS, true);
    simulation.runUntilEnded(host, job.id(), List.of(host));
    checkSucceededResults(job, DiskCache.of(folder, 600));
    long size = 0;
    for (Path file : Files.list(folder).toList()) {
      size += Files.size(file);
    }
    assertThat(size).isLessThanOrEqualTo(600);
    Path notFolder = Files.write(folder.resolve("file"), new byte[1]);
    checkSucceededResults(job, DiskCache.of(notFolder, 600));
  }
}
