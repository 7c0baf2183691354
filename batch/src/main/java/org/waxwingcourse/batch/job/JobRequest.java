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
 * @param organisation the organisation that sends the request
 * @param spec the parameters of the job
 * @param idempotencyKey the caller's idempotency key, if the request has one
 * @param onceOnly whether the endpoint is declared as one whose calls must not be repeated
 */
public record JobRequest(
    OrganisationId organisation,
    Job.JobSpec spec,
    Optional<String> idempotencyKey,
    boolean onceOnly) {
  private static final Pattern WINDOW = Pattern.compile("([1-9][0-9]{0,5})([smhd])");
  private static final int ID_HEX_DIGITS = 32;

  /**
   * Returns the job's id, which is the same on every host. Without an idempotency key the id is
   * derived from the request itself: callers upload a new input file for each job, so a second
   * request with the same file and parameters is a retry of the first.
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

  /** Returns the time from acceptance to the deadline, or empty if it cannot be parsed. */
  public Optional<Duration> window() {
    Matcher match = WINDOW.matcher(spec.window());
    if (!match.matches()) {
      return Optional.empty();
    }
    long amount = Long.parseLong(match.group(1));
    return Optional.of(
        switch (match.group(2)) {
          case "s" -> Duration.ofSeconds(amount);
          case "m" -> Duration.ofMinutes(amount);
          case "h" -> Duration.ofHours(amount);
          default -> Duration.ofDays(amount);
        });
  }

  /** Returns the first 32 hexadecimal digits of the SHA-256 hash of a text. */
  public static String digest(String text) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash).substring(0, ID_HEX_DIGITS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
