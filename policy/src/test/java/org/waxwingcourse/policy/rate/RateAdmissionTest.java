package org.waxwingcourse.policy.rate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.policy.trust.Evidence;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.Roster;

/** Tests the admission of a single host. Public because Lincheck instantiates the class. */
public class RateAdmissionTest {
  private static final Holder SELF = Holder.of(HostId.of("h0"), DataCentreId.of("dc"), 1);
  private static final OrganisationId ORGANISATION = OrganisationId.of("org");
  private static final Rate RATE = Rate.of(4, 3);

  private final ManualClock clock = ManualClock.at(Instant.parse("2026-01-01T00:00:00Z"));
  private final Evidence evidence = new Evidence(clock);
  private final List<RateMessage> sent = new ArrayList<>();
  private final RateAdmission admission =
      new RateAdmission(SELF, clock, evidence, new Random(1), (to, message) -> sent.add(message));

  /** Creates a host that holds the whole rate. */
  public RateAdmissionTest() {
    evidence.confirm(clock.instant());
    admission.onRoster(roster(1, 0));
    admission.onConfiguration(configuration());
  }

  /** Admits one request; operation for Lincheck. */
  @Operation
  public boolean admit() {
    return admitOnline().isEmpty();
  }

  /** Lends a token and takes it back; operation for Lincheck. */
  @Operation
  public void lend() {
    admission.onMessage(HostId.of("h1"), new RateMessage.Ask(1, ORGANISATION, 0, false));
  }

  @Test
  void concurrentAdmissionsAreLinearizable() {
    new StressOptions()
        .iterations(3)
        .invocationsPerIteration(100)
        .threads(3)
        .actorsPerThread(2)
        .actorsBefore(0)
        .actorsAfter(0)
        .check(RateAdmissionTest.class);
  }

  @Test
  void hostThatMissedARosterWaitsBeforeUsingItsShareAgain() {
    admission.onRoster(roster(2, 1));
    assertThat(admitOnline()).isEmpty();
    admission.onRoster(roster(4, 3));
    clock.advance(Duration.ofMillis(4_100));
    evidence.confirm(clock.instant());
    assertThat(admitOnline().get().code()).isEqualTo(RefusalCode.RATE_LIMITED);
    clock.advance(Duration.ofMillis(500));
    assertThat(admitOnline()).isEmpty();
  }

  @Test
  void loanExpiresNoLaterThanTheLendersEvidence() {
    clock.advance(Duration.ofMillis(3_600));
    admission.onMessage(HostId.of("h1"), new RateMessage.Ask(1, ORGANISATION, 1, false));
    assertThat(((RateMessage.Grant) sent.get(0)).valid()).isEqualTo(Duration.ofMillis(400));
  }

  @Test
  void hostWhoseEvidenceExpiredDuringAPauseRejectsRequests() {
    clock.advance(Evidence.VALIDITY);
    assertThat(admitOnline().get().code()).isEqualTo(RefusalCode.UNAVAILABLE);
  }

  private Option<Refusal> admitOnline() {
    Deadline deadline = Deadline.after(clock, Duration.ofSeconds(1));
    return admission.admit(ORGANISATION, WorkClass.ONLINE, deadline).toCompletableFuture().join();
  }

  private static Roster roster(long revision, long previous, Holder... others) {
    List<Holder> holders = new ArrayList<>(Arrays.asList(others));
    holders.add(SELF);
    return new Roster(Revision.of(revision), Revision.of(previous), Revision.NONE, holders);
  }

  private static FleetConfiguration configuration() {
    Defaults defaults = new Defaults(RATE, 1, Duration.ZERO, Duration.ZERO, Duration.ZERO, 1, 1);
    Organisation organisation = new Organisation(ORGANISATION, RATE, Set.of());
    return new FleetConfiguration(
        Revision.of(1),
        defaults,
        Map.of(ORGANISATION, organisation),
        Map.of(),
        Map.of(),
        List.of());
  }
}
