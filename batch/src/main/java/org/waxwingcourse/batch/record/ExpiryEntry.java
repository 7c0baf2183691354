package org.waxwingcourse.batch.record;

/**
 * An entry of the index by which expired data is found.
 *
 * @param kind the kind of data to delete
 * @param id the id of the file or job
 * @param input the chunks to delete with it
 */
public record ExpiryEntry(Kind kind, String id, Job.InputRef input) {
  /** The kind of data that an entry refers to. */
  public enum Kind {
    /** The chunks of an upload that may not have been completed. */
    UPLOAD,
    /** A file and its chunks. */
    FILE,
    /** An ended job and its results. */
    JOB
  }
}
