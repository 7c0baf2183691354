package org.waxwingcourse.fleet.online;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;

/**
 * Admits requests by route and key. A key is trusted only while there is recent evidence that the
 * configuration is the newest. A caller is not told that a key or route does not exist if the
 * evidence is older than the time within which a change comes into force.
 */
public final class AdmissionGate {
  /** Owner of the jobs in a fleet that declares no organisations. */
  public static final OrganisationId ANYONE = OrganisationId.of("anyone");

  /**
   * Maximum age of the evidence for a refusal by key or route; below the time within which a change
   * must come into force.
   */
  private static final Duration MAX_DENIAL_EVIDENCE_AGE = Duration.ofMillis(1500);

  /** Time after which a caller may retry on a host that lacks evidence. */
  private static final Duration NO_EVIDENCE_RETRY_DELAY = Duration.ofMillis(500);

  /**
   * How long a request waits for the first configuration of a host that has just started; less than
   * a caller that is refused needs for another attempt.
   */
  private static final Duration FIRST_CONFIGURATION_WAIT = Duration.ofMillis(150);

  /** Time after which a caller may try another host when this one is stopping; one round trip. */
  private static final Duration OTHER_HOST_RETRY_DELAY = Duration.ofMillis(5);

  private final StoreView storeView;
  private final Clocks clocks;
  private final Supplier<Duration> trustLimit;
  private final Predicate<Deadline> endsBeforeStop;
  private final CompletableFuture<Void> configured = new CompletableFuture<>();

  /**
   * A request that has been admitted.
   *
   * @param plan the configuration by which it was admitted
   * @param route its route
   * @param organisation the organisation it runs for, none on a route that needs no key
   */
  public record Admitted(Plan plan, Route route, Option<OrganisationPlan> organisation) {
    /** Returns the regions whose engines may get the request. */
    public HomeRegions homes() {
      return organisation.map(o -> route.homes().and(o.homes())).getOrElse(route.homes());
    }

    /** Returns the urgency of the request, 0 is the highest. */
    public int rank() {
      return organisation.flatMap(OrganisationPlan::rank).getOrElse(route.rank());
    }
  }

  /**
   * Creates a gate.
   *
   * @param storeView the content of the store as this host knows it
   * @param clocks the host's clocks
   * @param trustLimit maximum age of the evidence for accepting a key
   * @param endsBeforeStop whether this host is still there when a request's time limit ends
   */
  public AdmissionGate(
      StoreView storeView,
      Clocks clocks,
      Supplier<Duration> trustLimit,
      Predicate<Deadline> endsBeforeStop) {
    this.storeView = storeView;
    this.clocks = clocks;
    this.trustLimit = trustLimit;
    this.endsBeforeStop = endsBeforeStop;
    storeView.addPlanListener(plan -> configured.complete(null));
  }

  /**
   * Admits a request or returns the reason for refusing it. On a host that has just started it
   * waits briefly for the first configuration.
   *
   * @param callerDeadline until when the caller waits, none if it does not say
   */
  public CompletableFuture<Either<Refusal, Admitted>> admitOnceConfigured(
      String host, String target, Option<String> key, Option<Deadline> callerDeadline) {
    if (storeView.plan().isDefined()) {
      return CompletableFuture.completedFuture(admit(host, target, key, callerDeadline));
    }
    return configured
        .copy()
        .completeOnTimeout(null, FIRST_CONFIGURATION_WAIT.toMillis(), TimeUnit.MILLISECONDS)
        .thenApply(nothing -> admit(host, target, key, callerDeadline));
  }

  /**
   * Admits a request or returns the reason for refusing it.
   *
   * @param callerDeadline until when the caller waits, none if it does not say
   */
  public Either<Refusal, Admitted> admit(
      String host, String target, Option<String> key, Option<Deadline> callerDeadline) {
    if (storeView.plan().isEmpty()) {
      return Either.left(unavailable("this host has no configuration yet"));
    }
    Plan plan = storeView.plan().get();
    Option<Route> route = plan.routes().find(host, target);
    if (route.isEmpty()) {
      return Either.left(denialIfCertain(RefusalCode.NOT_FOUND, "no route matches the request"));
    }
    if (!endsBeforeStop.test(route.get().answerBy(clocks.instant(), callerDeadline))) {
      return Either.left(stopping());
    }
    if (route.get().keyless() || plan.organisations().isEmpty()) {
      return Either.right(new Admitted(plan, route.get(), Option.none()));
    }
    Option<OrganisationPlan> organisation = key.flatMap(plan.organisations()::byKey);
    if (organisation.isEmpty()) {
      return Either.left(denialIfCertain(RefusalCode.INVALID_KEY, "the request has no valid key"));
    }
    if (!trustsKeys()) {
      return Either.left(unavailable("no recent evidence that the keys are current"));
    }
    return Either.right(new Admitted(plan, route.get(), organisation));
  }

  /**
   * Returns the organisation to which a key belongs, for calls that are not subject to a route.
   *
   * @param answerBy when the call is answered at the latest
   */
  public Either<Refusal, OrganisationId> identify(Option<String> key, Deadline answerBy) {
    if (!endsBeforeStop.test(answerBy)) {
      return Either.left(stopping());
    }
    if (storeView.plan().isEmpty()) {
      return Either.left(unavailable("this host has no configuration yet"));
    }
    OrganisationTable organisations = storeView.plan().get().organisations();
    if (organisations.isEmpty()) {
      return Either.right(ANYONE);
    }
    Option<OrganisationPlan> holder = key.flatMap(organisations::byKey);
    if (holder.isEmpty()) {
      return Either.left(denialIfCertain(RefusalCode.INVALID_KEY, "the request has no valid key"));
    }
    return trustsKeys()
        ? Either.right(holder.get().id())
        : Either.left(unavailable("no recent evidence that the keys are current"));
  }

  /**
   * Returns whether an admitted request may still start: its key is valid by the newest
   * configuration.
   */
  public boolean isStillAdmitted(Admitted admitted, Option<String> key) {
    if (admitted.organisation().isEmpty()) {
      return true;
    }
    return trustsKeys()
        && storeView
            .plan()
            .flatMap(p -> key.flatMap(p.organisations()::byKey))
            .exists(o -> o.id().equals(admitted.organisation().get().id()));
  }

  /** Returns whether the evidence is recent enough to accept keys. */
  public boolean trustsKeys() {
    return storeView.evidence().isWithin(trustLimit.get());
  }

  private Refusal denialIfCertain(RefusalCode code, String message) {
    return storeView.evidence().isWithin(MAX_DENIAL_EVIDENCE_AGE)
        ? new Refusal(code, message, Instant.EPOCH)
        : unavailable("no recent evidence that the routes and keys are current");
  }

  private Refusal stopping() {
    Instant at = clocks.instant().plus(OTHER_HOST_RETRY_DELAY);
    return new Refusal(RefusalCode.STOPPING, "this node is shutting down", at);
  }

  private Refusal unavailable(String message) {
    return new Refusal(
        RefusalCode.UNAVAILABLE, message, clocks.instant().plus(NO_EVIDENCE_RETRY_DELAY));
  }
}
