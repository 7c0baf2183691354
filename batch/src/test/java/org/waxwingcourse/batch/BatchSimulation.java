package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.intake.DeclaredTargets;
import org.waxwingcourse.batch.intake.Upload;
import org.waxwingcourse.batch.intake.UploadLimits;
import org.waxwingcourse.batch.job.JobRequest;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.job.ResultReader;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.run.BatchRunner;
import org.waxwingcourse.batch.run.RunSettings;
import org.waxwingcourse.batch.store.StoreClient;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;

/**
 * A simulation of hosts, a store and an engine on one thread and one clock. The same seed gives the
 * same run.
 */
final class BatchSimulation {
  static final OrganisationId ORGANISATION = OrganisationId.of("workshop_a");
  static final RunSettings SETTINGS = settings(8);
  static final int CHUNK_ITEMS = 8;
  static final int NO_CRASH = Integer.MAX_VALUE;
  final ManualClock clock = ManualClock.at(Instant.parse("2026-01-01T00:00:00Z"));
  final MemoryStore store = MemoryStore.of(clock);
  final FakeEngine engine = new FakeEngine();
  final ResultHistory history = new ResultHistory();
  final Random random;
  Function<OrganisationId, Option<Refusal>> admission = o -> Option.none();
  OrganisationId organisation = ORGANISATION;
  private final UploadLimits limits;
  private int uploads;

  BatchSimulation(long seed) {
    this(seed, new UploadLimits(1 << 26, 200_000, CHUNK_ITEMS, 4000));
  }

  BatchSimulation(long seed, UploadLimits limits) {
    random = new Random(seed);
    this.limits = limits;
  }

  /** A simulated host. When its store crashes, the whole host stops. */
  final class Host {
    final CrashingStore hostStore;
    final Jobs jobs;
    final ResultReader results;
    final StoreClient storeClient;
    final BatchRunner runner;

    Host(String name, int crashAtCall, boolean afterEffect, RunSettings settings) {
      hostStore = new CrashingStore(store, crashAtCall, afterEffect);
      storeClient = new StoreClient(hostStore, clock, random, BatchSimulation.this::advance);
      jobs = new Jobs(storeClient, clock);
      results = new ResultReader(storeClient);
      runner =
          new BatchRunner(
              new BatchRunner.Dependencies(
                  HostId.of(name),
                  storeClient,
                  engine.senderOf(hostStore::isCrashed),
                  (o, workClass, d) -> CompletableFuture.completedFuture(admission.apply(o)),
                  clock,
                  random,
                  ChunkCache.NONE,
                  () -> 3,
                  (organisation, inTime, items) -> {},
                  settings));
    }

    /** Runs a step. Returns false if the host has crashed or crashes during the step. */
    boolean step() {
      if (hostStore.isCrashed()) {
        return false;
      }
      try {
        runner.step();
        return true;
      } catch (HostCrash e) {
        return false;
      }
    }

    Either<Outcome, BatchFile> upload(String text) {
      uploads++;
      Upload.FileInfo fileInfo =
          new Upload.FileInfo(
              FileId.of("file_" + organisation + "_" + uploads),
              organisation,
              "items.jsonl",
              "upload-" + uploads);
      Upload upload =
          new Upload(
              storeClient,
              clock,
              fileInfo,
              new DeclaredTargets(
                  Set.of(ModelName.of("organ-scribe")), Set.of(ServiceName.of("billing"))),
              limits);
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      for (int i = 0; i < bytes.length; i += 1000) {
        upload.write(bytes, i, Math.min(1000, bytes.length - i));
      }
      return upload.finish();
    }
  }

  Host host(String name) {
    return host(name, NO_CRASH, false);
  }

  Host host(String name, int crashAtCall, boolean afterEffect) {
    return new Host(name, crashAtCall, afterEffect, SETTINGS);
  }

  static RunSettings settings(int itemsInFlight) {
    return new RunSettings(
        2,
        itemsInFlight,
        Duration.ofSeconds(120),
        Duration.ofSeconds(30),
        Duration.ofSeconds(60),
        10_000,
        50_000,
        4);
  }

  void advance(Duration step) {
    clock.advance(step);
    store.processDueEvents();
  }

  static String inputLines(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i < to; i++) {
      text.append(inputLine("item-" + i, "organ-scribe")).append('\n');
    }
    return text.toString();
  }

  static String inputLine(String id, String model) {
    return "{\"custom_id\":\""
        + id
        + "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\""
        + model
        + "\",\"messages\":[{\"role\":\"user\",\"content\":\""
        + id
        + "\"}]}}";
  }

  static JobRequest newJob(BatchFile file, boolean repeatable) {
    return newJob(file, repeatable, "24h", Optional.of("key"));
  }

  static JobRequest newJob(
      BatchFile file, boolean repeatable, String window, Optional<String> key) {
    Map<String, String> metadata = repeatable ? Map.of() : Map.of("repeatable", "false");
    return new JobRequest(
        file.organisation(),
        new Job.JobSpec(file.id(), "/v1/chat/completions", window, metadata),
        key,
        false);
  }

  /** Uploads a file and creates a job for it on a host that does not crash. */
  Job createJob(Host host, int items, boolean repeatable) {
    BatchFile file = host.upload(inputLines(0, items)).get();
    return host.jobs.create(newJob(file, repeatable)).get();
  }

  /** Reads all results from a host and checks them against earlier reads. */
  void checkResults(Host host, Job job) {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < job.input().chunks(); i++) {
      lines.addAll(host.results.readResults(job, i, ResultReader.SUCCEEDED).get());
      lines.addAll(host.results.readResults(job, i, ResultReader.FAILED).get());
    }
    history.recordRead(lines);
  }

  /**
   * Runs hosts until the job has ended, while {@code observer} repeatedly reads and checks the
   * results.
   */
  Job runUntilEnded(Host observer, JobId id, List<Host> hosts) {
    for (int i = 0; i < 2000; i++) {
      hosts.forEach(Host::step);
      engine.completeRunning(5);
      advance(Duration.ofSeconds(1 + random.nextInt(10)));
      if (i % 5 == 0) {
        checkResults(observer, observer.jobs.find(id).get().job());
      }
      Job job = observer.jobs.find(id).get().job();
      if (job.state().isFinal()) {
        checkResults(observer, job);
        return job;
      }
    }
    throw new AssertionError("job has not ended: " + assertThat(id));
  }
}
