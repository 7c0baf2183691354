package org.waxwingcourse.fleet.coordinate;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.fleet.view.StoreTable;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.GrantedEngine;
import org.waxwingcourse.wire.fleet.LeavingEngine;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.Table;
import org.waxwingcourse.wire.fleet.TableEntry;

/** Converts between parts of fleet messages and the types that the code works with. */
final class FleetMessageConverter {
  private static final EventLog LOG = EventLog.of(FleetMessageConverter.class);
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private FleetMessageConverter() {}

  static Option<FleetMessage> parse(HostId from, byte[] payload) {
    try {
      return Option.some(FleetMessage.parseFrom(payload));
    } catch (InvalidProtocolBufferException e) {
      LOG.write(Event.FLEET_MESSAGE_UNREADABLE, from, e.getMessage());
      return Option.none();
    }
  }

  static long nanosOf(Instant instant) {
    return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
  }

  static ClockReading toClockReading(long steadyNanos, long wallMillis) {
    return new ClockReading(
        Instant.ofEpochSecond(0, steadyNanos), Instant.ofEpochMilli(wallMillis));
  }

  static Table encodeTable(StoreTable table) {
    StoreTable.Content content = table.content();
    Table.Builder builder =
        Table.newBuilder().setRevision(content.revision().value()).addAllLapsed(content.lapsed());
    for (Entry e : content.entries()) {
      builder.addEntries(
          TableEntry.newBuilder()
              .setKey(e.key())
              .setValue(ByteString.copyFrom(e.value()))
              .setCreated(e.created().value())
              .setModified(e.modified().value()));
    }
    return builder.build();
  }

  static StoreTable.Content toContent(Table message) {
    List<Entry> entries =
        message.getEntriesList().stream()
            .map(
                e ->
                    new Entry(
                        e.getKey(),
                        e.getValue().toByteArray(),
                        Revision.of(e.getCreated()),
                        Revision.of(e.getModified()),
                        LeaseId.NONE))
            .toList();
    return new StoreTable.Content(
        Revision.of(message.getRevision()), entries, message.getLapsedList());
  }

  static List<LeavingEngine> encodeBoots(Collection<EngineBoot> boots) {
    return boots.stream()
        .map(
            b ->
                LeavingEngine.newBuilder()
                    .setEngine(b.id().value())
                    .setStartedMillis(b.startedAtMillis())
                    .build())
        .toList();
  }

  static List<EngineBoot> toBoots(Collection<LeavingEngine> engines) {
    return engines.stream()
        .map(e -> new EngineBoot(UpstreamId.of(e.getEngine()), e.getStartedMillis()))
        .toList();
  }

  static GrantedEngine encodeEngine(EngineEntry engine) {
    GrantedEngine.Builder message = GrantedEngine.newBuilder();
    engine.version().forEach(message::setVersion);
    return message
        .setService(engine.service().value())
        .setAddress(engine.address().getAddress().getHostAddress())
        .setPort(engine.address().getPort())
        .setDataCentre(engine.dataCentre().value())
        .setSlots(engine.slots())
        .setStartedMillis(engine.startedAtMillis())
        .build();
  }

  static EngineEntry toEngine(SlotGrant grant) {
    GrantedEngine entry = grant.getEntry();
    return new EngineEntry(
            UpstreamId.of(grant.getEngine()),
            ServiceName.of(entry.getService()),
            new InetSocketAddress(entry.getAddress(), entry.getPort()),
            DataCentreId.of(entry.getDataCentre()),
            entry.getSlots(),
            false,
            entry.getStartedMillis())
        .withVersion(Option.when(!entry.getVersion().isEmpty(), entry::getVersion));
  }
}
