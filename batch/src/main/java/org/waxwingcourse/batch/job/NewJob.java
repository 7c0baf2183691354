package org.waxwingcourse.batch.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * A caller's request for a job.
 *
 * @param organisation who asks
 * @param spec what is to be done
 * @param idempotencyKey the caller's own key, if one came with the request
 * @param onceOnly whether calls of the endpoint are declared as not to be repeated
 */
public record NewJob(
    OrganisationId organisation,
    Job.JobSpec spec,
    Optional<String> idempotencyKey,
    boolean onceOnly) {
  private static final Pattern WINDOW = Pattern.compile("([1-9][0-9]{0,5})([smhd])");
  private static final int ID_DIGITS = 32;

  /**
   * Returns the id that the job has on every host. Without a key of the caller's the request itself
   * is the key: an input file is uploaded anew for each job, so the same file with the same
   * parameters is the same job sent again.
   */
  public JobId id() {
    String key =
        idempotencyKey
            .map(k -> "key " + k)
            .orElseGet(
                () ->
                    "spec "
                        + String.join(
                            "\n",
                            spec.file().value(),
                            spec.endpoint(),
                            spec.window(),
                            new TreeMap<>(spec.metadata()).toString()));
    return JobId.of("batch_" + organisation + "_" + digest(organisation + "\n" + key));
  }

  /** Returns the time from acceptance to the deadline, empty if it cannot be read. */
  public Optional<Duration> window() {
    Matcher m = WINDOW.matcher(spec.window());
    if (!m.matches()) {
      return Optional.empty();
    }
    long n = Long.parseLong(m.group(1));
    return Optional.of(
        switch (m.group(2)) {
          case "s" -> Duration.ofSeconds(n);
          case "m" -> Duration.ofMinutes(n);
          case "h" -> Duration.ofHours(n);
          default -> Duration.ofDays(n);
        });
  }

  /** Returns the start of the SHA-256 of a text, in hexadecimal digits. */
  public static String digest(String text) {
    try {
      byte[] sum =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sum).substring(0, ID_DIGITS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
