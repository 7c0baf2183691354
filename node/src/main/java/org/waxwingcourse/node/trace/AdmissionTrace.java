package org.waxwingcourse.node.trace;

import io.vavr.control.Option;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.Deadline;

/**
 * Records each admission decision as one line {@code
 * asked_ms,answered_ms,host,organisation,online|batch,admitted|refused}, with times in milliseconds
 * since the epoch by the node's clock. The decision was made between the two times. Lines are in
 * the order of the decisions.
 */
public final class AdmissionTrace implements Admission, Service {
  private final Admission admission;
  private final HostId host;
  private final InstantSource clock;
  private final Path file;
  private BufferedWriter writer;

  /** Creates a trace of the decisions of {@code admission}, appended to {@code file}. */
  public AdmissionTrace(Admission admission, HostId host, InstantSource clock, Path file) {
    this.admission = admission;
    this.host = host;
    this.clock = clock;
    this.file = file;
  }

  @Override
  public synchronized void start() {
    try {
      writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException("trace file \"" + file + "\" cannot be written", e);
    }
  }

  @Override
  public synchronized void stop() {
    try {
      if (writer != null) {
        writer.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("trace file \"" + file + "\" cannot be closed", e);
    }
  }

  @Override
  public CompletionStage<Option<Refusal>> admit(
      OrganisationId organisation, WorkClass workClass, Deadline deadline) {
    Instant requestedAt = clock.instant();
    return admission
        .admit(organisation, workClass, deadline)
        .whenComplete(
            (refusal, error) -> recordDecision(requestedAt, organisation, workClass, refusal));
  }

  private synchronized void recordDecision(
      Instant requestedAt,
      OrganisationId organisation,
      WorkClass workClass,
      Option<Refusal> refusal) {
    String decision = refusal != null && refusal.isEmpty() ? "admitted" : "refused";
    long decidedAt = clock.instant().toEpochMilli();
    String line =
        String.join(
            ",",
            Long.toString(requestedAt.toEpochMilli()),
            Long.toString(decidedAt),
            host.value(),
            organisation.value(),
            workClass.name().toLowerCase(Locale.ROOT),
            decision);
    try {
      writer.write(line);
      writer.newLine();
      writer.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("trace file \"" + file + "\" cannot be written", e);
    }
  }
}
