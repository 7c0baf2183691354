package org.waxwingcourse.fleet.coordinate;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.waxwingcourse.fleet.quarantine.PromptQuarantine;
import org.waxwingcourse.fleet.quarantine.QuarantineCodec;
import org.waxwingcourse.fleet.quarantine.QuarantinedPrompt;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;
import org.waxwingcourse.wire.fleet.QuarantineEntry;

/**
 * The parts of pings and pongs by which hosts get the quarantine from one another, so that it
 * outlives a coordinator. Entries are sent only to a host whose digest differs.
 */
final class QuarantineExchange {
  private static final EventLog LOG = EventLog.of(QuarantineExchange.class);

  private final PromptQuarantine quarantine;
  private final Clocks clocks;
  private final Map<HostId, Long> lastDigests = new ConcurrentHashMap<>();

  QuarantineExchange(PromptQuarantine quarantine, Clocks clocks) {
    this.quarantine = quarantine;
    this.clocks = clocks;
  }

  void addTo(Ping.Builder ping, HostId receiver) {
    long digest = quarantine.digest();
    ping.setQuarantineDigest(digest);
    if (digest != lastDigests.getOrDefault(receiver, 0L)) {
      ping.addAllQuarantine(QuarantineCodec.encode(quarantine.entries(), clocks.now()));
    }
  }

  void addTo(Pong.Builder pong, Ping ping) {
    long digest = quarantine.digest();
    pong.setQuarantineDigest(digest);
    if (digest != ping.getQuarantineDigest()) {
      pong.addAllQuarantine(QuarantineCodec.encode(quarantine.entries(), clocks.now()));
    }
  }

  void apply(HostId from, Ping ping) {
    merge(from, ping.getQuarantineList());
  }

  void apply(HostId from, Pong pong) {
    lastDigests.put(from, pong.getQuarantineDigest());
    merge(from, pong.getQuarantineList());
  }

  private void merge(HostId from, Collection<QuarantineEntry> entries) {
    for (QuarantinedPrompt prompt : QuarantineCodec.decode(entries, clocks.now())) {
      if (quarantine.merge(prompt)) {
        LOG.write(Event.QUARANTINE_LEARNED, prompt.partsText(), prompt.lifted(), from);
      }
    }
  }
}
