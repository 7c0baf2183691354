package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.util.Optional;

/**
 * Status of a host's versions and their lag, for operators.
 *
 * @param versions the versions in force on this host
 * @param missing newer versions that the host knows of but lacks, or empty if there are none
 * @param evidenceAge time since its versions were last known to be the newest, or empty if they
 *     never were
 * @param current whether the host may act on keys and shares
 * @param storeAnswers whether the store responded to its last read
 */
public record AgreementStatus(
    Versions versions,
    Optional<Versions> missing,
    Optional<Duration> evidenceAge,
    boolean current,
    boolean storeAnswers) {}
