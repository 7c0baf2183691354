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
 * Records each request that an admission was asked about: one line {@code
 * asked_ms,answered_ms,host,organisation,online|batch,admitted|refused}, with times in milliseconds
 * since the epoch. The decision fell between the two times. Lines are in the order of the answers.
 */
public final class AdmissionTrace implements Admission, Service {
  private final Admission admission;
  private final HostId host;
  private final InstantSource clock;
  private final Path file;
  private BufferedWriter writer;

  /** Creates a trace of {@code admission} that is appended to {@code file}. */
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
      throw new UncheckedIOException("trace \"" + file + "\" cannot be written", e);
    }
  }

  @Override
  public synchronized void stop() {
    try {
      if (writer != null) {
        writer.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("trace \"" + file + "\" cannot be closed", e);
    }
  }

  @Override
  public CompletionStage<Option<Refusal>> admit(
      OrganisationId organisation, WorkClass work, Deadline deadline) {
    Instant asked = clock.instant();
    return admission
        .admit(organisation, work, deadline)
        .whenComplete((refusal, error) -> record(asked, organisation, work, refusal));
  }

  private synchronized void record(
      Instant asked, OrganisationId organisation, WorkClass work, Option<Refusal> refusal) {
    String answer = refusal != null && refusal.isEmpty() ? "admitted" : "refused";
    long answered = clock.instant().toEpochMilli();
    String line =
        String.join(
            ",",
            Long.toString(asked.toEpochMilli()),
            Long.toString(answered),
            host.value(),
            organisation.value(),
            work.name().toLowerCase(Locale.ROOT),
            answer);
    try {
      writer.write(line);
      writer.newLine();
      writer.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("trace \"" + file + "\" cannot be written", e);
    }
  }
}
