package org.waxwingcourse.fleet.quarantine;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.waxwingcourse.model.time.Deadline;

/**
 * Parts of prompts such that engines crash on prompts that contain all of them.
 *
 * @param parts the ids of the parts, not empty
 * @param version number of the changes of this entry; the higher version holds
 * @param probes number of requests that were let through and on which an engine crashed; hosts of
 *     earlier versions count all that were let through
 * @param lifted whether the prompts may run again
 * @param probeAt when the next request may be let through
 */
public record QuarantinedPrompt(
    Set<Long> parts, int version, int probes, boolean lifted, Deadline probeAt) {
  /** Copies the set. */
  public QuarantinedPrompt {
    parts = Set.copyOf(parts);
  }

  /** Returns whether requests with this prompt are refused. */
  boolean matches(Collection<Long> promptParts) {
    return !lifted && promptParts.containsAll(parts);
  }

  QuarantinedPrompt withProbe(int newProbes, Deadline newProbeAt) {
    return new QuarantinedPrompt(parts, version + 1, newProbes, false, newProbeAt);
  }

  QuarantinedPrompt asLifted() {
    return new QuarantinedPrompt(parts, version + 1, probes, true, probeAt);
  }

  /** Returns the parts as hexadecimal numbers. */
  public String partsText() {
    return parts.stream().sorted().map(Long::toHexString).collect(Collectors.joining(","));
  }
}
