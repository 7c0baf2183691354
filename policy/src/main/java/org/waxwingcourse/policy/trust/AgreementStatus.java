package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.util.Optional;

/**
 * What a host knows about its own lag, for operators.
 *
 * @param versions in force on this host
 * @param missing newer versions that it has heard of and lacks, empty if none
 * @param evidenceAge how long ago its versions were known to be the newest, empty if never
 * @param current whether it may act on keys and shares
 * @param storeAnswers whether the store answered its last read
 */
public record AgreementStatus(
    Versions versions,
    Optional<Versions> missing,
    Optional<Duration> evidenceAge,
    boolean current,
    boolean storeAnswers) {}
