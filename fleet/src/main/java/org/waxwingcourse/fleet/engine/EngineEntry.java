package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * An engine's entry in the store, with what the engine has said of itself in answers.
 *
 * @param id the engine; it may keep its id when it restarts
 * @param service the service that it provides
 * @param address the address that it listens on
 * @param dataCentre the data centre that it runs in
 * @param slots number of requests that it runs at once, zero if not stated
 * @param leaving whether it accepts no new requests
 * @param startedAtMillis Unix time of its start in milliseconds, zero if not stated
 * @param limit the requests per second that it takes from all hosts together, none if it names none
 * @param version the version of its software, none if not stated
 * @param condition whether it is cold or evacuated
 */
public record EngineEntry(
    UpstreamId id,
    ServiceName service,
    InetSocketAddress address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long startedAtMillis,
    Option<RequestRate> limit,
    Option<String> version,
    EngineCondition condition) {
  /** Creates the entry of an engine that names no limit and no version, and is not cold. */
  public EngineEntry(
      UpstreamId id,
      ServiceName service,
      InetSocketAddress address,
      DataCentreId dataCentre,
      int slots,
      boolean leaving,
      long startedAtMillis) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        startedAtMillis,
        Option.none(),
        Option.none(),
        EngineCondition.NORMAL);
  }

  /** Returns the process that wrote the entry. */
  public EngineBoot boot() {
    return new EngineBoot(id, startedAtMillis);
  }

  /** Returns the software that the engine's process runs. */
  public SoftwareId software() {
    return SoftwareId.of(version, boot());
  }

  /** Returns this entry as that of an engine that accepts no new requests. */
  public EngineEntry asLeaving() {
    return new EngineEntry(
        id, service, address, dataCentre, slots, true, startedAtMillis, limit, version, condition);
  }

  /**
   * Returns this entry as that of an engine whose data centre is evacuated. It is leaving as far as
   * the choice of engines is concerned: it gets no new requests and keeps its runs.
   */
  public EngineEntry asEvacuated() {
    return asLeaving().withCondition(condition.asEvacuated());
  }

  /** Returns this entry as that of an engine in the given condition. */
  public EngineEntry withCondition(EngineCondition changed) {
    return new EngineEntry(
        id, service, address, dataCentre, slots, leaving, startedAtMillis, limit, version, changed);
  }

  /** Returns this entry as that of an engine that names the given limit, or none. */
  public EngineEntry withLimit(Option<RequestRate> named) {
    return new EngineEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        startedAtMillis,
        named,
        version,
        condition);
  }

  /**
   * Returns the software of the engine's process if its version is not certain; it is like no
   * other.
   */
  public SoftwareId uncertainSoftware() {
    return withVersion(Option.none()).software();
  }

  /** Returns this entry as that of an engine whose software has the given version, or none. */
  public EngineEntry withVersion(Option<String> stated) {
    return new EngineEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        startedAtMillis,
        limit,
        stated,
        condition);
  }
}
