package org.waxwingcourse.batch.record;

import java.time.Duration;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/** The store keys of batch data. */
public final class Keys {
  /** The prefix of the manifests of jobs that have not ended. */
  public static final String LIVE = "/waxwing/batch/live/";

  /** The key that a host creates under its lease while it deletes expired data. */
  public static final String SWEEPER_LOCK = "/waxwing/batch/sweeper";

  /** The key of the last day whose expired data was deleted. */
  public static final String LAST_SWEPT_DAY = "/waxwing/batch/swept";

  private static final String ROOT = "/waxwing/batch/";

  private Keys() {}

  /** Returns the key of a file's record. */
  public static String file(FileId file) {
    return ROOT + "files/" + file + "/meta";
  }

  /** Returns the key of one chunk of an upload. */
  public static String inputChunk(FileId file, String upload, int chunk) {
    return ROOT + "files/" + file + "/" + upload + "/" + zeroPadded(chunk);
  }

  /** Returns the key prefix of an organisation's jobs that have not ended. */
  public static String liveJobs(OrganisationId organisation) {
    return LIVE + organisation + "/";
  }

  /** Returns the key of a job that has not ended. */
  public static String liveJob(JobId job) {
    return liveJobs(ownerOf(job.value())) + job;
  }

  /** Returns the key prefix of an organisation's jobs that have ended. */
  public static String endedJobs(OrganisationId organisation) {
    return ROOT + "ended/" + organisation + "/";
  }

  /** Returns the key of a job that has ended. */
  public static String endedJob(JobId job) {
    return endedJobs(ownerOf(job.value())) + job;
  }

  /** Returns the key prefix of the states of a job's chunks. */
  public static String chunkStates(JobId job) {
    return ROOT + "chunks/" + job + "/";
  }

  /** Returns the key of the state of a chunk. */
  public static String chunkState(JobId job, int chunk) {
    return chunkStates(job) + zeroPadded(chunk);
  }

  /** Returns the number of the chunk whose state is stored under {@code key}. */
  public static int chunkNumber(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Returns the key of the send checkpoint of a chunk whose items may not be repeated. */
  public static String sendCheckpoint(JobId job, int chunk) {
    return ROOT + "marks/" + job + "/" + zeroPadded(chunk);
  }

  /** Returns the key prefix of the results of a chunk. */
  public static String chunkResults(JobId job, int chunk) {
    return ROOT + "results/" + job + "/" + zeroPadded(chunk) + "/";
  }

  /** Returns the key of the header that identifies the parts of a chunk's results. */
  public static String resultHeader(JobId job, int chunk) {
    return chunkResults(job, chunk) + "head";
  }

  /**
   * Returns the key of one part of the results that the owner with the given fencing number wrote.
   */
  public static String resultPart(JobId job, int chunk, long fencing, int part) {
    return chunkResults(job, chunk) + fencing + "/" + zeroPadded(part);
  }

  /** Returns the key prefix of the index entries whose data expires on one day. */
  public static String expiryDay(long epochDay) {
    return ROOT + "expiry/" + String.format("%07d", epochDay) + "/";
  }

  /**
   * Returns the key of the index entry for data that expires at {@code end}. The entry is listed
   * under the following UTC day.
   */
  public static String expiryEntry(Deadline end, ExpiryEntry.Kind kind, String id) {
    return expiryDay(Math.floorDiv(end.at().getEpochSecond(), Duration.ofDays(1).toSeconds()) + 1)
        + kind
        + "/"
        + id;
  }

  /**
   * Returns the organisation that is contained in the id of a file or job, or {@code ?} if the id
   * contains none.
   */
  public static OrganisationId ownerOf(String id) {
    int start = id.indexOf('_');
    int end = id.lastIndexOf('_');
    return OrganisationId.of(start < 0 || end <= start + 1 ? "?" : id.substring(start + 1, end));
  }

  private static String zeroPadded(int n) {
    return String.format("%06d", n);
  }
}
