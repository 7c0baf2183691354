package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;

/** The keys under which the fleet stores its own entries. */
public final class StoreKeys {
  /** Prefix of all keys of the fleet that every host reads when it starts. */
  public static final String FLEET_PREFIX = "fleet/";

  /** Prefix of the keys of host entries. */
  public static final String HOSTS_PREFIX = "fleet/hosts/";

  /** Key of the secret by which hosts prove to each other that they belong to the fleet. */
  public static final String SECRET_KEY = "fleet/secret";

  /** Key of the prompts on which engines crash. */
  public static final String QUARANTINE_KEY = "fleet/quarantine";

  /** Prefix of the keys of job records. */
  public static final String JOBS_PREFIX = "jobs/";

  /** Prefix of the keys of the entries that name the runner of each unfinished job. */
  public static final String RUNNERS_PREFIX = "runners/";

  private StoreKeys() {}

  /** Returns the key of the entry of one process of a host. */
  public static String hostKey(HostId host, long boot) {
    return hostKeyPrefix(host) + boot;
  }

  /** Returns the prefix of the keys of all processes of a host. */
  public static String hostKeyPrefix(HostId host) {
    return HOSTS_PREFIX + host + "@";
  }

  /** Returns the key of a job's record. */
  public static String jobKey(JobId job) {
    return JOBS_PREFIX + job;
  }

  /**
   * Returns the job that a key of {@link #JOBS_PREFIX} or {@link #RUNNERS_PREFIX} names, none if it
   * is the prefix alone.
   */
  public static Option<JobId> findJob(String key, String prefix) {
    return Option.when(
        key.startsWith(prefix) && key.length() > prefix.length(),
        () -> JobId.of(key.substring(prefix.length())));
  }

  /** Returns the key of one part of a job's items. */
  public static String itemsKey(JobId job, int part) {
    return "items/" + job + "/" + part;
  }

  /** Returns the key of one part of a job's results. */
  public static String resultsKey(JobId job, int part) {
    return "results/" + job + "/" + part;
  }

  /** Returns the key of the entry that names a job's runner. */
  public static String runnerKey(JobId job) {
    return RUNNERS_PREFIX + job;
  }

  /** Returns the key of the count of an organisation's waiting tokens on a route. */
  public static String waitingTokensKey(String organisation, String route) {
    return "waiting/" + organisation + "/" + route;
  }
}
