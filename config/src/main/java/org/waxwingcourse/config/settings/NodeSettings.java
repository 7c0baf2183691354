package org.waxwingcourse.config.settings;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * What a node is told at its start.
 *
 * @param host the host's name
 * @param dataCentre where it stands
 * @param dataFolder folder for cached bulk data, if the host has a disk
 * @param traceFile where admissions are recorded for replay, if they are
 * @param callers where callers connect
 * @param callerAddress base address that callers are told
 * @param peers where other hosts connect
 * @param operators where metrics and status are read
 * @param stores base addresses of the platform store
 * @param hostList address of the platform's list of hosts
 * @param secret proof of belonging to the fleet, shared by all its hosts
 * @param limits bounds on what one caller connection may cost
 */
public record NodeSettings(
    HostId host,
    DataCentreId dataCentre,
    Option<Path> dataFolder,
    Option<Path> traceFile,
    InetSocketAddress callers,
    URI callerAddress,
    InetSocketAddress peers,
    InetSocketAddress operators,
    List<URI> stores,
    URI hostList,
    FleetSecret secret,
    Limits limits) {
  /**
   * Bounds on what callers may cost.
   *
   * @param headerBytes largest request header
   * @param connections open caller connections
   * @param requests requests in progress
   * @param requestBodyMillis time in which a request's body must arrive, milliseconds
   */
  public record Limits(int headerBytes, int connections, int requests, int requestBodyMillis) {}

  /**
   * A secret that no log shows.
   *
   * @param value the secret's text
   */
  public record FleetSecret(String value) {
    @Override
    public String toString() {
      return "(secret)";
    }
  }
}
