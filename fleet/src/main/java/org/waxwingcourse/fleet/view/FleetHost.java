package org.waxwingcourse.fleet.view;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.wire.fleet.HostEntry;

/**
 * One process of the fleet, as registered in the store.
 *
 * @param id the host
 * @param boot number of the process
 * @param dataCentre where it stands
 * @param region the region of that data centre
 * @param peers where other hosts connect
 * @param callers where callers connect, none if it takes none
 * @param leaving whether it has been told to stop
 * @param registered the revision that created its entry; earlier processes rank first
 */
public record FleetHost(
    HostId id,
    long boot,
    DataCentreId dataCentre,
    String region,
    InetSocketAddress peers,
    Option<String> callers,
    boolean leaving,
    Revision registered) {

  /** Reads a host's entry; none if the bytes are not one. */
  public static Option<FleetHost> read(Entry entry) {
    try {
      HostEntry e = HostEntry.parseFrom(entry.value());
      return address(e.getPeerAddress()).map(peers -> of(e, peers, entry.created()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException unreadable) {
      return Option.none();
    }
  }

  /** Returns the entry's value. */
  public byte[] encode() {
    return HostEntry.newBuilder()
        .setHost(id.value())
        .setBoot(boot)
        .setDataCentre(dataCentre.value())
        .setRegion(region)
        .setPeerAddress(peers.getAddress().getHostAddress() + ":" + peers.getPort())
        .setCallerAddress(callers.getOrElse(""))
        .setLeaving(leaving)
        .build()
        .toByteArray();
  }

  /** Returns the same host, told to stop. */
  public FleetHost withLeaving() {
    return new FleetHost(id, boot, dataCentre, region, peers, callers, true, registered);
  }

  /** Tells whether callers may be sent to the host. */
  public boolean takesCallers() {
    return callers.isDefined() && !leaving;
  }

  private static FleetHost of(HostEntry e, InetSocketAddress peers, Revision registered) {
    return new FleetHost(
        HostId.of(e.getHost()),
        e.getBoot(),
        DataCentreId.of(e.getDataCentre()),
        e.getRegion(),
        peers,
        Option.of(e.getCallerAddress()).filter(a -> !a.isEmpty()),
        e.getLeaving(),
        registered);
  }

  private static Option<InetSocketAddress> address(String text) {
    int colon = text.lastIndexOf(':');
    return colon < 0
        ? Option.none()
        : Option.some(
            new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
  }
}
