package org.waxwingcourse.fleet.quarantine;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.CrashingRequest;
import org.waxwingcourse.wire.fleet.Fingerprint;

/** Converts records of crashes to and from messages; times become wall clock times. */
public final class CrashRecordCodec {
  private CrashRecordCodec() {}

  /** Returns the message for a fingerprint. */
  public static Fingerprint encode(RequestFingerprint fingerprint) {
    return Fingerprint.newBuilder()
        .setHigh(fingerprint.high())
        .setLow(fingerprint.low())
        .setOwner(fingerprint.owner())
        .build();
  }

  /** Returns the fingerprint of a message. */
  public static RequestFingerprint decode(Fingerprint message) {
    return new RequestFingerprint(message.getHigh(), message.getLow(), message.getOwner());
  }

  /** Returns the message for a record. */
  public static CrashingRequest encode(CrashRecord record, ClockReading now) {
    CrashingRequest.Builder message =
        CrashingRequest.newBuilder()
            .setFingerprint(encode(record.request()))
            .setGeneration(record.generation())
            .addAllEngineBoots(record.engines())
            .setRefused(record.refused())
            .setProbes(record.probes());
    for (Deadline probeAt : record.probeAt()) {
      long millis = Duration.between(now.steady(), probeAt.at()).toMillis();
      message.setProbeAtMillis(now.wall().toEpochMilli() + millis);
    }
    return message.build();
  }

  /** Returns the records of messages. */
  public static List<CrashRecord> decode(Collection<CrashingRequest> messages, ClockReading now) {
    return messages.stream().map(m -> decode(m, now)).toList();
  }

  private static CrashRecord decode(CrashingRequest message, ClockReading now) {
    long millis = message.getProbeAtMillis() - now.wall().toEpochMilli();
    Option<Deadline> probeAt =
        Option.when(
            message.getProbeAtMillis() != 0, () -> Deadline.at(now.steady().plusMillis(millis)));
    return new CrashRecord(
        decode(message.getFingerprint()),
        message.getGeneration(),
        new HashSet<>(message.getEngineBootsList()),
        message.getRefused(),
        message.getProbes(),
        probeAt);
  }
}
