package org.waxwingcourse.batch.record;

import java.time.Instant;
import java.util.Set;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/**
 * The record of an uploaded input file. It is stored after all of the file's chunks, and the file
 * exists from then on.
 *
 * @param id the file's id, which contains its organisation
 * @param organisation the organisation that uploaded the file
 * @param name the file name given by the caller
 * @param bytes the length of the file
 * @param input the location of its lines
 * @param models the models that its lines request
 * @param endpoints the endpoints that its lines request
 * @param created when the record was first stored
 * @param expires when the file may be deleted, which is later than the expiry of the results of any
 *     job that reads it
 * @param operation unique id of the write that created this version
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

  /** Returns the file with a new expiry time. */
  public BatchFile withExpiry(Deadline newExpires, String newOperation) {
    return new BatchFile(
        id, organisation, name, bytes, input, models, endpoints, created, newExpires, newOperation);
  }
}
