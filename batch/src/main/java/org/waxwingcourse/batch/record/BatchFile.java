package org.waxwingcourse.batch.record;

import java.time.Instant;
import java.util.Set;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/**
 * An uploaded input file. It exists from the moment when this record is stored, after all of its
 * chunks.
 *
 * @param id the file, which names its organisation
 * @param organisation who sent it
 * @param name the caller's name for it
 * @param bytes its length
 * @param input where its lines are
 * @param models the models that its lines ask for
 * @param endpoints the paths that its lines name
 * @param created when it was stored
 * @param expires when it may be removed; later than the results of any job that reads it
 * @param operation marks the write that made this version
 */
public record BatchFile(
    FileId id,
    OrganisationId organisation,
    String name,
    long bytes,
    Job.InputRef input,
    Set<ModelName> models,
    Set<String> endpoints,
    Instant created,
    Deadline expires,
    String operation) {
  /** Copies the sets. */
  public BatchFile {
    models = Set.copyOf(models);
    endpoints = Set.copyOf(endpoints);
  }

  /** Returns the file with a later end. */
  public BatchFile keptUntil(Deadline later, String newOperation) {
    return new BatchFile(
        id, organisation, name, bytes, input, models, endpoints, created, later, newOperation);
  }
}
