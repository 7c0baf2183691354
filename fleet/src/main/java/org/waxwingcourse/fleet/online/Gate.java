package org.waxwingcourse.fleet.online;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * Lets a request in by route and key. A key is trusted only while there is recent evidence that the
 * configuration is the newest, and nobody is told that a key or route does not exist on evidence
 * that is older than a change needs to come into force.
 */
public final class Gate {
  /** Owns the jobs of a fleet that declares no organisations. */
  public static final OrganisationId ANYONE = OrganisationId.of("anyone");

  /** FreshnessEvidence that a refusal by key or route needs; below the time a change may take. */
  private static final Duration DENIAL_LIMIT = Duration.ofMillis(1500);

  /** When a caller may come back to a host that lacks evidence. */
  private static final Duration RETRY = Duration.ofMillis(500);

  /** When a caller may try another host than one that stops; at once, but for one round trip. */
  private static final Duration ELSEWHERE = Duration.ofMillis(5);

  private final StoreView storeView;
  private final Clocks clocks;
  private final Supplier<Duration> trustLimit;
  private final BooleanSupplier closing;

  /**
   * A request that may run.
   *
   * @param plan the configuration that let it in
   * @param route its route
   * @param organisation who it runs for, none on a route open to all
   */
  public record Admitted(Plan plan, Route route, Option<OrganisationPlan> organisation) {
    /** Returns the urgency, 0 is the highest. */
    public int rank() {
      return organisation.flatMap(OrganisationPlan::rank).getOrElse(route.rank());
    }
  }

  /**
   * Creates a gate.
   *
   * @param storeView the content of the store as this host knows it
   * @param clocks the host's clocks
   * @param trustLimit for how long keys are trusted after the newest evidence
   * @param closing whether the host is about to end and takes nothing new
   */
  public Gate(
      StoreView storeView, Clocks clocks, Supplier<Duration> trustLimit, BooleanSupplier closing) {
    this.storeView = storeView;
    this.clocks = clocks;
    this.trustLimit = trustLimit;
    this.closing = closing;
  }

  /** Returns what may run, or why not. */
  public Either<Refusal, Admitted> admit(String host, String target, Option<String> key) {
    if (closing.getAsBoolean()) {
      Instant at = clocks.instant().plus(ELSEWHERE);
      return Either.left(new Refusal(RefusalCode.STOPPING, "this host stops", at));
    }
    if (storeView.plan().isEmpty()) {
      return Either.left(unavailable("this host has no configuration yet"));
    }
    Plan plan = storeView.plan().get();
    Option<Route> route = plan.routes().find(host, target);
    if (route.isEmpty()) {
      return Either.left(denial(RefusalCode.NOT_FOUND, "no route for this host and path"));
    }
    if (route.get().open() || plan.organisations().isEmpty()) {
      return Either.right(new Admitted(plan, route.get(), Option.none()));
    }
    Option<OrganisationPlan> organisation = key.flatMap(plan.organisations()::byKey);
    if (organisation.isEmpty()) {
      return Either.left(denial(RefusalCode.INVALID_KEY, "no key that works came with it"));
    }
    if (!trustsKeys()) {
      return Either.left(unavailable("no recent evidence that keys are current"));
    }
    return Either.right(new Admitted(plan, route.get(), organisation));
  }

  /** Returns the organisation that holds a key, for calls that no route concerns. */
  public Either<Refusal, OrganisationId> identify(Option<String> key) {
    if (storeView.plan().isEmpty()) {
      return Either.left(unavailable("this host has no configuration yet"));
    }
    OrganisationTable organisations = storeView.plan().get().organisations();
    if (organisations.isEmpty()) {
      return Either.right(ANYONE);
    }
    Option<OrganisationPlan> holder = key.flatMap(organisations::byKey);
    if (holder.isEmpty()) {
      return Either.left(denial(RefusalCode.INVALID_KEY, "no key that works came with it"));
    }
    return trustsKeys()
        ? Either.right(holder.get().id())
        : Either.left(unavailable("no recent evidence that keys are current"));
  }

  /** Tells whether a request let in before may still start: its key works by the newest plan. */
  public boolean stillAllows(Admitted admitted, Option<String> key) {
    if (admitted.organisation().isEmpty()) {
      return true;
    }
    return trustsKeys()
        && storeView
            .plan()
            .flatMap(p -> key.flatMap(p.organisations()::byKey))
            .exists(o -> o.id().equals(admitted.organisation().get().id()));
  }

  /** Tells whether there is recent enough evidence to act on keys. */
  public boolean trustsKeys() {
    return storeView.evidence().isWithin(trustLimit.get());
  }

  private Refusal denial(RefusalCode code, String message) {
    return storeView.evidence().isWithin(DENIAL_LIMIT)
        ? new Refusal(code, message, Instant.EPOCH)
        : unavailable("no recent evidence of routes and keys");
  }

  private Refusal unavailable(String message) {
    return new Refusal(RefusalCode.UNAVAILABLE, message, clocks.instant().plus(RETRY));
  }
}
