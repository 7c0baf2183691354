package org.waxwingcourse.config.settings;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * The settings that a node reads when it starts.
 *
 * @param host the name of the host
 * @param dataCentre the data centre in which the host runs
 * @param dataFolder the folder for cached bulk data, none if the host has no disk
 * @param traceFile the file in which admissions are recorded for replay, none if they are not
 * @param callers the socket address on which the host accepts callers
 * @param callerAddress the base address that is advertised to callers
 * @param peers the socket address on which the host accepts other hosts
 * @param operators the socket address that serves metrics and status
 * @param stores the base addresses of the platform store
 * @param hostList the base address of the platform's list of hosts
 * @param secret the secret that all hosts of the fleet share to authenticate each other
 * @param limits the limits on the resources that callers may use
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
   * Limits on the resources that callers may use.
   *
   * @param headerBytes the largest request header, bytes
   * @param connections the maximum number of open caller connections
   * @param requests the maximum number of requests in progress
   * @param requestBodyMillis the time limit for receiving a request body, milliseconds
   */
  public record Limits(int headerBytes, int connections, int requests, int requestBodyMillis) {}

  /**
   * The fleet secret; its string form omits the value so that logs do not reveal it.
   *
   * @param value the text of the secret
   */
  public record FleetSecret(String value) {
    @Override
    public String toString() {
      return "(secret)";
    }
  }
}
