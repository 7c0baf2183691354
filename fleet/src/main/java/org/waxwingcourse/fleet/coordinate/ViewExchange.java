package org.waxwingcourse.fleet.coordinate;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreTable;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;
import org.waxwingcourse.wire.fleet.Table;

/**
 * The parts of pings and pongs by which hosts get the content of the store from one another: the
 * configuration, the tables of engines and hosts, the orders to evacuate data centres, and evidence
 * that the configuration is current.
 */
final class ViewExchange {
  /** A host that was asked for its views sends them within this time. */
  private static final Duration VIEWS_TIMEOUT = Duration.ofMillis(300);

  private final StoreView storeView;
  private final Clocks clocks;
  private Instant viewsAskedAt = Instant.EPOCH;

  ViewExchange(StoreView storeView, Clocks clocks) {
    this.storeView = storeView;
    this.clocks = clocks;
  }

  /** Adds to a ping when it is sent, what this host has, and whether it asks for what it lacks. */
  void addTo(Ping.Builder ping, boolean asksForViews) {
    ClockReading sent = clocks.now();
    ping.setSentNanos(FleetMessageConverter.nanosOf(sent.steady()))
        .setSentMillis(sent.wall().toEpochMilli())
        .setConfiguration(storeView.planRevision().value())
        .setEngines(storeView.engineTable().revision().value())
        .setHosts(storeView.hostTable().revision().value())
        .setEvacuationsDigest(storeView.evacuationTable().digest())
        .setWithoutViews(!asksForViews);
  }

  /** Adds to the pong for a ping this host's evidence and, if asked for, what the sender lacks. */
  void addTo(Pong.Builder pong, Ping ping) {
    pong.setConfigurationRevision(storeView.planRevision().value());
    storeView
        .evidence()
        .age()
        .forEach(a -> pong.setHasEvidence(true).setEvidenceAgeNanos(a.toNanos()));
    if (ping.getWithoutViews()) {
      return;
    }
    storeView
        .document()
        .filter(d -> d.revision().value() > ping.getConfiguration())
        .forEach(d -> pong.setConfiguration(ByteString.copyFrom(d.bytes())));
    if (storeView.engineTable().revision().value() > ping.getEngines()) {
      pong.setEngines(FleetMessageConverter.encodeTable(storeView.engineTable()));
    }
    if (storeView.hostTable().revision().value() > ping.getHosts()) {
      pong.setHosts(FleetMessageConverter.encodeTable(storeView.hostTable()));
    }
    addEvacuations(pong, ping);
  }

  /**
   * Adds the orders to evacuate data centres if the sender has others. Orders are few and rare;
   * without any, pings and pongs say nothing of them. They are compared by their content, since an
   * order that is gone leaves no revision behind.
   */
  private void addEvacuations(Pong.Builder pong, Ping ping) {
    StoreTable orders = storeView.evacuationTable();
    if (orders.digest() != ping.getEvacuationsDigest()
        && orders.revision().isAfter(Revision.NONE)) {
      pong.setEvacuations(FleetMessageConverter.encodeTable(orders));
    }
  }

  /**
   * Applies what a pong brings.
   *
   * @return whether its sender is now to be asked for its views: it has a newer configuration, and
   *     no other host has been asked within the time of an answer
   */
  boolean apply(Pong pong, Instant now) {
    Revision revision = Revision.of(pong.getConfigurationRevision());
    if (pong.hasEvacuations()) {
      storeView
          .evacuationTable()
          .replaceFromPeer(FleetMessageConverter.toContent(pong.getEvacuations()));
    }
    if (!pong.getConfiguration().isEmpty()) {
      storeView.applyIfNewer(
          new StoreView.ConfigurationDocument(revision, pong.getConfiguration().toByteArray()));
    }
    if (pong.hasEngines()) {
      applyIfNewer(pong.getEngines(), storeView.engineTable());
    }
    if (pong.hasHosts()) {
      applyIfNewer(pong.getHosts(), storeView.hostTable());
    }
    boolean isBehind = revision.isAfter(storeView.planRevision());
    if (pong.getHasEvidence() && !isBehind) {
      ClockReading sent =
          FleetMessageConverter.toClockReading(pong.getSentNanos(), pong.getSentMillis());
      storeView
          .evidence()
          .recordPeerProof(sent.minus(Duration.ofNanos(pong.getEvidenceAgeNanos())));
    }
    return isBehind && mayAsk(now);
  }

  /** Applies another host's table; what that host keeps is left out if not kept here too. */
  private void applyIfNewer(Table message, StoreTable table) {
    if (Revision.of(message.getRevision()).isAfter(table.revision())) {
      StoreTable.Content content = FleetMessageConverter.toContent(message);
      table.replaceFromPeer(storeView.contact().isRecovering() ? content : content.withoutLapsed());
    }
  }

  private synchronized boolean mayAsk(Instant now) {
    if (now.isBefore(viewsAskedAt.plus(VIEWS_TIMEOUT))) {
      return false;
    }
    viewsAskedAt = now;
    return true;
  }
}
