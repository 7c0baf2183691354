package org.waxwingcourse.fleet.quarantine;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.QuarantineEntry;

/** Converts entries of the quarantine to and from messages; times become wall clock times. */
public final class QuarantineCodec {
  private QuarantineCodec() {}

  /** Returns the messages for {@code entries}. */
  public static List<QuarantineEntry> encode(
      Collection<QuarantinedPrompt> entries, ClockReading now) {
    return entries.stream().map(e -> encode(e, now)).toList();
  }

  private static QuarantineEntry encode(QuarantinedPrompt entry, ClockReading now) {
    long millis = entry.probeAt().remaining(now.steady()).toMillis();
    return QuarantineEntry.newBuilder()
        .addAllParts(entry.parts().stream().sorted().toList())
        .setVersion(entry.version())
        .setProbes(entry.probes())
        .setLifted(entry.lifted())
        .setProbeAtMillis(now.wall().toEpochMilli() + millis)
        .build();
  }

  /** Returns the entries of {@code messages}, without those that name no part. */
  public static List<QuarantinedPrompt> decode(
      Collection<QuarantineEntry> messages, ClockReading now) {
    return messages.stream().filter(m -> m.getPartsCount() > 0).map(m -> decode(m, now)).toList();
  }

  private static QuarantinedPrompt decode(QuarantineEntry message, ClockReading now) {
    long millis = message.getProbeAtMillis() - now.wall().toEpochMilli();
    // The clock of the host that wrote it may be ahead.
    Deadline latest = PromptQuarantine.probeDeadline(message.getProbes(), now.steady());
    return new QuarantinedPrompt(
        new HashSet<>(message.getPartsList()),
        message.getVersion(),
        message.getProbes(),
        message.getLifted(),
        Deadline.at(now.steady().plusMillis(millis)).earlier(latest));
  }
}
