package org.waxwingcourse.store.hosts;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * Converts listed hosts to and from JSON, for the list and for the registrations of the hosts
 * themselves.
 */
public final class ListedHostCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ListedHostCodec() {}

  private record Row(
      @JsonProperty("id") String id,
      @JsonProperty("data_centre") String dataCentre,
      @JsonProperty("caller_address") String callerAddress,
      @JsonProperty("peer_address") String peerAddress,
      @JsonProperty("state") String state) {}

  /** Returns one host as JSON. */
  public static String write(ListedHost host) {
    return toJson(rowOf(host));
  }

  /** Returns a list of hosts as JSON. */
  public static String writeAll(List<ListedHost> hosts) {
    return toJson(hosts.stream().map(ListedHostCodec::rowOf).toList());
  }

  /** Parses one host. The left side describes the parse error. */
  public static Either<String, ListedHost> read(byte[] json) {
    return Try.of(() -> hostOf(MAPPER.readValue(json, Row.class)))
        .toEither()
        .mapLeft(ListedHostCodec::describeError);
  }

  /** Parses a list of hosts. The left side describes the parse error. */
  public static Either<String, List<ListedHost>> readAll(byte[] json) {
    return Try.of(
            () ->
                Arrays.stream(MAPPER.readValue(json, Row[].class))
                    .map(ListedHostCodec::hostOf)
                    .toList())
        .toEither()
        .mapLeft(ListedHostCodec::describeError);
  }

  private static Row rowOf(ListedHost host) {
    InetSocketAddress peer = host.peerAddress();
    return new Row(
        host.id().value(),
        host.dataCentre().value(),
        host.callerAddress().toString(),
        peer.getHostString() + ":" + peer.getPort(),
        host.state().name().toLowerCase(Locale.ROOT));
  }

  private static ListedHost hostOf(Row row) {
    int colon = row.peerAddress().lastIndexOf(':');
    String ip = row.peerAddress().substring(0, colon);
    int port = Integer.parseInt(row.peerAddress().substring(colon + 1));
    return new ListedHost(
        HostId.of(row.id()),
        DataCentreId.of(row.dataCentre()),
        URI.create(row.callerAddress()),
        InetSocketAddress.createUnresolved(ip, port),
        ListedHost.State.valueOf(row.state().toUpperCase(Locale.ROOT)));
  }

  private static String describeError(Throwable error) {
    return "listed host cannot be read: " + error.getMessage();
  }

  private static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
