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
 * A process of a host, as registered in the store.
 *
 * @param id the host
 * @param boot number of the process, which distinguishes the processes of one host
 * @param dataCentre the data centre that it runs in
 * @param region the region of that data centre
 * @param peerAddress the address on which other hosts connect
 * @param callerAddress the address on which callers connect, none if it serves no callers
 * @param leaving whether it has been told to stop
 * @param registeredAt the store revision that created its entry; earlier processes rank first
 */
public record FleetHost(
    HostId id,
    long boot,
    DataCentreId dataCentre,
    String region,
    InetSocketAddress peerAddress,
    Option<String> callerAddress,
    boolean leaving,
    Revision registeredAt) {

  /** Parses a host's entry; returns none if the value is not one. */
  public static Option<FleetHost> parse(Entry entry) {
    try {
      HostEntry hostEntry = HostEntry.parseFrom(entry.value());
      return parseAddress(hostEntry.getPeerAddress())
          .map(peerAddress -> of(hostEntry, peerAddress, entry.created()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException unreadable) {
      return Option.none();
    }
  }

  /** Returns the value of its entry. */
  public byte[] encode() {
    return HostEntry.newBuilder()
        .setHost(id.value())
        .setBoot(boot)
        .setDataCentre(dataCentre.value())
        .setRegion(region)
        .setPeerAddress(peerAddress.getAddress().getHostAddress() + ":" + peerAddress.getPort())
        .setCallerAddress(callerAddress.getOrElse(""))
        .setLeaving(leaving)
        .build()
        .toByteArray();
  }

  /** Returns a copy of this entry that is marked as leaving. */
  public FleetHost asLeaving() {
    return new FleetHost(
        id, boot, dataCentre, region, peerAddress, callerAddress, true, registeredAt);
  }

  /** Returns whether callers may be sent to the host. */
  public boolean takesCallers() {
    return callerAddress.isDefined() && !leaving;
  }

  private static FleetHost of(
      HostEntry hostEntry, InetSocketAddress peerAddress, Revision registeredAt) {
    return new FleetHost(
        HostId.of(hostEntry.getHost()),
        hostEntry.getBoot(),
        DataCentreId.of(hostEntry.getDataCentre()),
        hostEntry.getRegion(),
        peerAddress,
        Option.of(hostEntry.getCallerAddress()).filter(a -> !a.isEmpty()),
        hostEntry.getLeaving(),
        registeredAt);
  }

  private static Option<InetSocketAddress> parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    return colon < 0
        ? Option.none()
        : Option.some(
            new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
  }
}
