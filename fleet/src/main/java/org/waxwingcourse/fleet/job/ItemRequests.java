package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.fleet.coordinate.SlotRequirements;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.slot.BatchWork;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.JobItem;

/** Builds the requests of one item, for slots and to engines. */
final class ItemRequests {
  private static final String HOST = "Host";

  private final JobItem item;
  private final RunningJob job;
  private final JobRunner.Ports ports;

  ItemRequests(JobItem item, RunningJob job, JobRunner.Ports ports) {
    this.item = item;
    this.job = job;
    this.ports = ports;
  }

  /**
   * Returns what the item needs of a slot.
   *
   * @param receivedEvents the events that it has already
   * @param avoided engines at which it failed
   * @param software that which sent its events, none if it has none
   */
  SlotRequirements slotRequirements(
      Route route,
      ServiceName service,
      HomeRegions homes,
      int receivedEvents,
      Set<UpstreamId> avoided,
      Option<SoftwareId> software) {
    return new SlotRequirements(
        RequestId.of(item.getId()),
        service,
        WorkClass.BATCH,
        route.rank(),
        Option.none(),
        Option.none(),
        Deadline.at(job.due().at().minus(ports.times().estimateRemaining(receivedEvents))),
        job.giveUpAt(),
        ports.promptParts().apply(item.getHeadersList()),
        avoided,
        Option.some(new BatchWork(job.due(), receivedEvents)),
        Option.none(),
        Option.none(),
        homes,
        software,
        ports.sizes().apply(item.getHeadersList()));
  }

  /**
   * Returns the request to an engine.
   *
   * @param after the event after which it goes on, none if it begins with the first
   */
  EngineRequest engineRequest(EngineEntry engine, Option<Long> after, Deadline until) {
    return new EngineRequest(
        RequestId.of(item.getId()),
        engine,
        "POST",
        item.getPath(),
        headers(),
        item.getBody().toByteArray(),
        Option.some(job.organisation()),
        after,
        until);
  }

  private List<Header> headers() {
    List<Header> headers = new ArrayList<>();
    headers.add(Header.of(HOST, job.hostHeader()));
    item.getHeadersList().stream()
        .filter(h -> !h.getName().equalsIgnoreCase(HOST))
        .forEach(h -> headers.add(Header.of(h.getName(), h.getValue())));
    return headers;
  }
}
