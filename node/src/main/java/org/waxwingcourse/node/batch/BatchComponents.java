package org.waxwingcourse.node.batch;

import io.vavr.control.Option;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.cache.DiskCache;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.batch.run.BatchRunner;
import org.waxwingcourse.batch.run.RunSettings;
import org.waxwingcourse.batch.store.Pause;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.node.metrics.Objective;
import org.waxwingcourse.node.web.CallerPorts;
import org.waxwingcourse.node.web.RequestChecks;
import org.waxwingcourse.store.Store;

/** Creates the components of batch work, connected to the node's ports. */
public final class BatchComponents {
  private static final long MAX_CACHE_BYTES = 1L << 30;
  private static final int MAX_ATTEMPTS_BEFORE_CONFIGURATION = 3;

  private BatchComponents() {}

  /** Returns the cache in a host's data folder, or a cache that stores nothing without one. */
  public static ChunkCache cache(Option<Path> dataFolder) {
    return dataFolder
        .<ChunkCache>map(folder -> DiskCache.of(folder.resolve("batch"), MAX_CACHE_BYTES))
        .getOrElse(ChunkCache.NONE);
  }

  /** Returns the routes of the batch API. */
  public static List<Routes> routes(
      CallerPorts ports, Store store, ChunkCache cache, RandomGenerator random) {
    InstantSource clock = ports.clock();
    Pause pause = Pause.parking();
    StoreCalls calls = new StoreCalls(store, clock, random, pause);
    Jobs jobs = new Jobs(calls, clock);
    BatchHandlerSupport support = new BatchHandlerSupport(new RequestChecks(ports));
    return List.of(
        new UploadRoutes(support, calls, clock),
        new FileRoutes(support, jobs, new Results(calls, cache)),
        new JobRoutes(support, jobs, ports, pause));
  }

  /** Returns the service that runs chunks on this host. */
  public static BatchRunner runner(
      CallerPorts ports, Store store, HostId host, ChunkCache cache, RandomGenerator random) {
    StoreCalls calls = new StoreCalls(store, ports.clock(), random, Pause.parking());
    return new BatchRunner(
        new BatchRunner.Parts(
            host,
            calls,
            new BatchItemSender(ports),
            ports.admission(),
            ports.clock(),
            random,
            cache,
            () -> maxAttempts(ports.configuration()),
            (organisation, inTime, items) ->
                ports.levels().countEvents(Objective.BATCH_DEADLINE, organisation, inTime, items),
            RunSettings.STANDARD));
  }

  private static int maxAttempts(ConfigurationSource configuration) {
    return configuration
        .current()
        .map(c -> c.defaults().batchTries())
        .orElse(MAX_ATTEMPTS_BEFORE_CONFIGURATION);
  }
}
