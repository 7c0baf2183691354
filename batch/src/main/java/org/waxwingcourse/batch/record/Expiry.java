package org.waxwingcourse.batch.record;

/**
 * Entry of the index by which old data is found.
 *
 * @param kind what is to be removed
 * @param id the file or job
 * @param input the chunks that go with it
 */
public record Expiry(Kind kind, String id, Job.InputRef input) {
  /** What an entry points to. */
  public enum Kind {
    /** Chunks of an upload that may never have been finished. */
    UPLOAD,
    /** A file with its chunks. */
    FILE,
    /** An ended job with its results. */
    JOB
  }
}
