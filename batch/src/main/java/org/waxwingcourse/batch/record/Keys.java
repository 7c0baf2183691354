package org.waxwingcourse.batch.record;

import java.time.Duration;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/** Names of the keys under which batch work is stored. */
public final class Keys {
  /** Prefix of the manifests of jobs that have not ended. */
  public static final String LIVE = "/waxwing/batch/live/";

  /** Key that the host hangs on its lease while it removes old data. */
  public static final String SWEEPER = "/waxwing/batch/sweeper";

  /** Key of the last day whose old data was removed. */
  public static final String SWEPT = "/waxwing/batch/swept";

  private static final String ROOT = "/waxwing/batch/";

  private Keys() {}

  /** Returns the key of a file's record. */
  public static String file(FileId file) {
    return ROOT + "files/" + file + "/meta";
  }

  /** Returns the key of one chunk of an upload. */
  public static String input(FileId file, String upload, int chunk) {
    return ROOT + "files/" + file + "/" + upload + "/" + number(chunk);
  }

  /** Returns the prefix of an organisation's jobs that have not ended. */
  public static String live(OrganisationId organisation) {
    return LIVE + organisation + "/";
  }

  /** Returns the key of a job that has not ended. */
  public static String live(JobId job) {
    return live(owner(job.value())) + job;
  }

  /** Returns the prefix of an organisation's jobs that have ended. */
  public static String ended(OrganisationId organisation) {
    return ROOT + "ended/" + organisation + "/";
  }

  /** Returns the key of a job that has ended. */
  public static String ended(JobId job) {
    return ended(owner(job.value())) + job;
  }

  /** Returns the prefix of the states of a job's chunks. */
  public static String chunks(JobId job) {
    return ROOT + "chunks/" + job + "/";
  }

  /** Returns the key of the state of a chunk. */
  public static String chunk(JobId job, int chunk) {
    return chunks(job) + number(chunk);
  }

  /** Returns the number of the chunk whose state is stored under the key. */
  public static int chunkNumber(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Returns the key of the mark of a chunk whose items may not be repeated. */
  public static String mark(JobId job, int chunk) {
    return ROOT + "marks/" + job + "/" + number(chunk);
  }

  /** Returns the prefix of the results of a chunk. */
  public static String results(JobId job, int chunk) {
    return ROOT + "results/" + job + "/" + number(chunk) + "/";
  }

  /** Returns the key of the entry that says which parts are the results of a chunk. */
  public static String resultHead(JobId job, int chunk) {
    return results(job, chunk) + "head";
  }

  /** Returns the key of one part of the results that the owner with a fencing number made. */
  public static String result(JobId job, int chunk, long fencing, int part) {
    return results(job, chunk) + fencing + "/" + number(part);
  }

  /** Returns the prefix of the index of what ends on one day. */
  public static String expiry(long epochDay) {
    return ROOT + "expiry/" + String.format("%07d", epochDay) + "/";
  }

  /** Returns the key in the index of what ends at {@code end}, on the day after it. */
  public static String expiry(Deadline end, Expiry.Kind kind, String id) {
    return expiry(Math.floorDiv(end.at().getEpochSecond(), Duration.ofDays(1).toSeconds()) + 1)
        + kind
        + "/"
        + id;
  }

  /** Returns the organisation that the id of a file or job names. */
  public static OrganisationId owner(String id) {
    int start = id.indexOf('_');
    int end = id.lastIndexOf('_');
    return OrganisationId.of(start < 0 || end <= start + 1 ? "?" : id.substring(start + 1, end));
  }

  private static String number(int n) {
    return String.format("%06d", n);
  }
}
