package org.waxwingcourse.load;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.report.LoadReport;
import org.waxwingcourse.load.run.LoadRun;
import org.waxwingcourse.model.time.MonotonicClock;

/** Entry point of the load generator. */
public final class LoadTool {
  private static final int HTTP_THREADS = 2;

  private LoadTool() {}

  /** Runs a plan in real time and returns its measurements. */
  public static LoadReport run(LoadPlan plan) throws InterruptedException {
    MonotonicClock clock = MonotonicClock.start();
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    try (HttpCaller http = HttpCaller.of(clock, HTTP_THREADS)) {
      http.start();
      return new LoadRun(plan, http, clock, timer).run();
    } finally {
      timer.shutdownNow();
    }
  }
}
