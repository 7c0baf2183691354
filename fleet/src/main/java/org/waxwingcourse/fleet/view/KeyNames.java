package org.waxwingcourse.fleet.view;

import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;

/** The keys under which the fleet keeps its own entries in the store. */
public final class KeyNames {
  /** Begins all keys of the fleet that every host reads at its start. */
  public static final String FLEET = "fleet/";

  /** Begins the entries of hosts. */
  public static final String HOSTS = "fleet/hosts/";

  /** The secret by which hosts prove to each other that they belong to the fleet. */
  public static final String SECRET = "fleet/secret";

  /** Begins the records of jobs. */
  public static final String JOBS = "jobs/";

  /** Begins the entries that name each unfinished job's runner. */
  public static final String RUNNERS = "runners/";

  private KeyNames() {}

  /** Returns the key of one process of a host. */
  public static String host(HostId host, long boot) {
    return hostPrefix(host) + boot;
  }

  /** Returns what begins the keys of all processes of a host. */
  public static String hostPrefix(HostId host) {
    return HOSTS + host + "@";
  }

  /** Returns the key of a job's record. */
  public static String job(JobId job) {
    return JOBS + job;
  }

  /** Returns the key of a part of a job's items. */
  public static String items(JobId job, int part) {
    return "items/" + job + "/" + part;
  }

  /** Returns the key of a part of a job's results. */
  public static String results(JobId job, int part) {
    return "results/" + job + "/" + part;
  }

  /** Returns the key that names a job's runner. */
  public static String runner(JobId job) {
    return RUNNERS + job;
  }

  /** Returns the key that counts an organisation's waiting tokens on a route. */
  public static String waiting(String organisation, String route) {
    return "waiting/" + organisation + "/" + route;
  }
}
