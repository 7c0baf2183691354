package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Delta;
import org.waxwingcourse.policy.configuration.DocumentFollower;
import org.waxwingcourse.policy.configuration.OfferResult;

/**
 * Keeps this host's versions and their evidence up to date by anti-entropy (pull gossip: each
 * second requests are sent to a few random hosts; Demers et al., 1987).
 *
 * <p>Evidence is the statement that no version accepted before a given instant is newer than the
 * given versions. It is obtained in three ways: from a read of the store's heads that was sent at
 * that instant; from the evidence of another host, whose age is subtracted from the time at which
 * the request to that host was sent; or, while the store does not respond, from a majority of the
 * roster, each member of which was sent a request after that instant and has no newer version. A
 * statement about versions that this host lacks takes effect when this host has received them.
 *
 * <p>Hosts with old evidence read the store themselves, so the number of reads adapts: a fleet
 * whose hosts can communicate needs few reads. Deltas are sent instead of whole documents.
 */
public final class Agreement {
  private static final int FANOUT = 2;

  private final HostId self;
  private final long incarnation;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Supplier<List<HostId>> peers;
  private final TrustPort port;
  private final DocumentFollower<?> configuration;
  private final DocumentFollower<Roster> roster;
  private final Evidence evidence;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Set<HostId> votes = new HashSet<>();
  private final Map<HostId, ReceivedVersions> lastReceived = new HashMap<>();
  private Optional<FreshnessClaim> unmetClaim = Optional.empty();
  private Optional<Poll> poll = Optional.empty();
  private Instant nextGossip = Instant.MIN;
  private Instant nextRead = Instant.MIN;
  private Instant nextPoll = Instant.MIN;
  private Instant fetchDocumentsAt = Instant.MAX;
  private Optional<Instant> readPendingSince = Optional.empty();
  private boolean storeReadFailed = true;
  private Duration jitter = Duration.ZERO;
  private Revision closedRoster = Revision.NONE;
  private Instant closedUntil = Instant.MIN;

  /**
   * Creates the agreement of one host.
   *
   * @param self this process
   * @param clock monotonic clock of this host
   * @param random adds jitter to attempts and selects hosts
   * @param peers hosts to exchange versions with, excluding this host
   * @param port sends messages and accesses the store
   * @param configuration follower of the operators' configuration
   * @param roster follower of the roster
   * @param evidence evidence that is renewed here and read by the components that depend on it
   */
  public Agreement(
      Holder self,
      InstantSource clock,
      RandomGenerator random,
      Supplier<List<HostId>> peers,
      TrustPort port,
      DocumentFollower<?> configuration,
      DocumentFollower<Roster> roster,
      Evidence evidence) {
    this.self = self.host();
    this.incarnation = self.incarnation();
    this.clock = clock;
    this.random = random;
    this.peers = peers;
    this.port = port;
    this.configuration = configuration;
    this.roster = roster;
    this.evidence = evidence;
  }

  /** A statement that no version accepted before an instant is newer than these versions. */
  private record FreshnessClaim(Versions versions, Instant currentAsOf) {}

  /** A request without a response so far. */
  private record PendingRequest(HostId to, Instant sentAt, boolean isVote) {}

  /** The versions of another host and the time at which they were received. */
  private record ReceivedVersions(Versions versions, Instant at) {}

  /** A poll of the roster in progress. */
  private record Poll(Roster roster, Instant startedAt, Revision newest) {}

  /** Performs the actions that are due. Must be called a few times per second. */
  public synchronized void tick() {
    Instant now = clock.instant();
    Instant oldestUseful = now.minus(Evidence.VALIDITY);
    pending.values().removeIf(p -> p.sentAt().isBefore(oldestUseful));
    confirmUnmetClaim();
    if (!now.isBefore(nextGossip)) {
      nextGossip = now.plus(AgreementTiming.withJitter(AgreementTiming.GOSSIP_INTERVAL, random));
      randomPeers().forEach(p -> sendRequest(p, now, false));
    }
    readHeadsIfStale(now);
    pollRosterIfStale(now);
    if (!now.isBefore(fetchDocumentsAt)) {
      fetchDocumentsAt = now.plus(AgreementTiming.withJitter(Evidence.VALIDITY, random));
      port.readDocuments();
    }
  }

  /**
   * Handles the store's response to a read of the heads.
   *
   * @param sentAt time on this host's clock before the read was sent
   * @param heads the newest revisions; {@link Revision#NONE} for a document that is not stored
   */
  public synchronized void onHeads(Instant sentAt, Versions heads) {
    readPendingSince = Optional.empty();
    storeReadFailed = false;
    applyClaim(new FreshnessClaim(heads, sentAt));
    if (!versions().covers(heads) && fetchDocumentsAt.equals(Instant.MAX)) {
      fetchDocumentsAt = clock.instant().plus(AgreementTiming.withJitter(fetchDelay(), random));
      randomPeers().forEach(p -> sendRequest(p, clock.instant(), false));
    }
  }

  /** Records that a read of the heads has failed. */
  public synchronized void onHeadsFailed() {
    readPendingSince = Optional.empty();
    storeReadFailed = true;
  }

  /** Applies a configuration change that was received from the store. */
  public synchronized OfferResult onWatchedConfiguration(Delta change) {
    OfferResult offer = configuration.offer(change);
    confirmUnmetClaim();
    return offer;
  }

  /** Applies a roster change that was received from the store. */
  public synchronized OfferResult onWatchedRoster(Delta change) {
    OfferResult offer = roster.offer(change);
    confirmUnmetClaim();
    return offer;
  }

  /** Handles a request from another host. */
  public synchronized void onAsk(HostId from, TrustMessage.Ask ask) {
    Versions local = versions();
    Versions remote = ask.versions();
    lastReceived.put(from, new ReceivedVersions(remote, clock.instant()));
    Optional<Delta> newerConfiguration = deltaSince(configuration, remote.configuration());
    Optional<Delta> newerRoster = deltaSince(roster, remote.roster());
    boolean supported = remote.roster().equals(local.roster()) && supportsRoster();
    port.send(
        from,
        new TrustMessage.Answer(
            ask.id(),
            incarnation,
            local,
            evidence.age(),
            supported,
            newerConfiguration,
            newerRoster));
    if (!local.covers(remote)) {
      sendRequest(from, clock.instant(), false);
    }
  }

  /** Handles the response of another host. */
  public synchronized void onAnswer(HostId from, TrustMessage.Answer answer) {
    lastReceived.put(from, new ReceivedVersions(answer.versions(), clock.instant()));
    answer.configuration().ifPresent(configuration::offer);
    answer.roster().ifPresent(roster::offer);
    confirmUnmetClaim();
    PendingRequest request = pending.remove(answer.id());
    if (request == null || !request.to().equals(from)) {
      return;
    }
    answer
        .evidenceAge()
        .ifPresent(
            age -> applyClaim(new FreshnessClaim(answer.versions(), request.sentAt().minus(age))));
    if (request.isVote() && answer.extendsRoster()) {
      poll.ifPresent(p -> countVote(p, from, request, answer));
    }
  }

  /** Promises to stop extending a roster, unless this host knows a newer one. */
  public synchronized void onClose(HostId from, TrustMessage.CloseRoster close) {
    if (closeRoster(close.roster())) {
      port.send(from, new TrustMessage.RosterClosed(close.id(), close.roster()));
    }
  }

  /** Stops extending a roster, or returns false if this host knows a newer one. */
  synchronized boolean closeRoster(Revision revision) {
    if (roster.revision().isAfter(revision)) {
      return false;
    }
    closedRoster = closedRoster.isAfter(revision) ? closedRoster : revision;
    closedUntil = clock.instant().plus(RosterChanger.PROMISE_DURATION);
    return true;
  }

  /** Returns the versions in force on this host. */
  public Versions versions() {
    return Versions.of(configuration.revision(), roster.revision());
  }

  /** Returns whether the store responded to the last read of its heads. */
  public synchronized boolean storeAnswers() {
    return !storeReadFailed && readPendingSince.isEmpty();
  }

  /** Returns the status of this host, including its lag. */
  public synchronized AgreementStatus status() {
    return new AgreementStatus(
        versions(),
        unmetClaim.map(FreshnessClaim::versions),
        evidence.age(),
        evidence.isCurrent(),
        storeAnswers());
  }

  /** Returns the last known versions of each other live host. */
  public synchronized List<HostVersions> others() {
    Instant now = clock.instant();
    lastReceived.keySet().retainAll(peers.get());
    return lastReceived.entrySet().stream()
        .map(
            e ->
                new HostVersions(
                    e.getKey(), e.getValue().versions(), Duration.between(e.getValue().at(), now)))
        .sorted(Comparator.comparing(HostVersions::host))
        .toList();
  }

  private void readHeadsIfStale(Instant now) {
    if (readPendingSince
        .filter(s -> now.isAfter(s.plus(AgreementTiming.STORE_READ_TIMEOUT)))
        .isPresent()) {
      storeReadFailed = true;
    }
    if (now.isBefore(nextRead)
        || !isEvidenceOlderThan(AgreementTiming.STORE_READ_AGE.plus(jitter))) {
      return;
    }
    jitter = AgreementTiming.withJitter(Duration.ZERO, random);
    nextRead = now.plus(AgreementTiming.withJitter(AgreementTiming.RETRY_INTERVAL, random));
    readPendingSince = Optional.of(readPendingSince.orElse(now));
    port.readHeads();
  }

  private void pollRosterIfStale(Instant now) {
    Duration after = AgreementTiming.ROSTER_POLL_AGE.plus(jitter);
    if (!storeReadFailed || now.isBefore(nextPoll) || !isEvidenceOlderThan(after)) {
      return;
    }
    nextPoll = now.plus(AgreementTiming.withJitter(AgreementTiming.RETRY_INTERVAL, random));
    Roster voters = roster.value().orElse(Roster.EMPTY);
    if (voters.holders().isEmpty()) {
      return;
    }
    poll = Optional.of(new Poll(voters, now, configuration.revision()));
    votes.clear();
    if (supportsRoster()) {
      votes.add(self);
    }
    concludePoll();
    for (Holder h : voters.holders()) {
      if (!h.host().equals(self)) {
        sendRequest(h.host(), now, true);
      }
    }
  }

  private void countVote(Poll p, HostId from, PendingRequest request, TrustMessage.Answer answer) {
    boolean sentDuringPoll = !request.sentAt().isBefore(p.startedAt());
    boolean sameRoster = answer.versions().roster().equals(p.roster().revision());
    if (!sentDuringPoll || !sameRoster || !p.roster().lists(from, answer.incarnation())) {
      return;
    }
    Revision remote = answer.versions().configuration();
    Revision newest = remote.isAfter(p.newest()) ? remote : p.newest();
    poll = Optional.of(new Poll(p.roster(), p.startedAt(), newest));
    votes.add(from);
    concludePoll();
  }

  private void concludePoll() {
    Poll p = poll.orElseThrow();
    if (p.roster().isMajority(votes.size())) {
      poll = Optional.empty();
      applyClaim(new FreshnessClaim(Versions.of(p.newest(), p.roster().revision()), p.startedAt()));
    }
  }

  private boolean supportsRoster() {
    Roster current = roster.value().orElse(Roster.EMPTY);
    boolean notClosed =
        current.revision().isAfter(closedRoster) || clock.instant().isAfter(closedUntil);
    return notClosed && current.lists(self, incarnation);
  }

  private void applyClaim(FreshnessClaim claim) {
    if (versions().covers(claim.versions())) {
      evidence.confirm(claim.currentAsOf());
      return;
    }
    boolean isNewer =
        unmetClaim.map(u -> claim.currentAsOf().isAfter(u.currentAsOf())).orElse(true);
    if (isNewer) {
      unmetClaim = Optional.of(claim);
    }
  }

  private void confirmUnmetClaim() {
    if (unmetClaim.isPresent() && versions().covers(unmetClaim.get().versions())) {
      evidence.confirm(unmetClaim.get().currentAsOf());
      unmetClaim = Optional.empty();
      fetchDocumentsAt = Instant.MAX;
    }
  }

  private Duration fetchDelay() {
    return randomPeers().isEmpty() ? Duration.ZERO : AgreementTiming.DOCUMENT_FETCH_DELAY;
  }

  private boolean isEvidenceOlderThan(Duration limit) {
    return evidence.age().map(a -> a.compareTo(limit) > 0).orElse(true);
  }

  private void sendRequest(HostId to, Instant now, boolean isVote) {
    long id = random.nextLong();
    pending.put(id, new PendingRequest(to, now, isVote));
    port.send(to, new TrustMessage.Ask(id, incarnation, versions()));
  }

  private List<HostId> randomPeers() {
    List<HostId> candidates = peers.get();
    if (candidates.size() <= FANOUT) {
      return candidates;
    }
    return random
        .ints(0, candidates.size())
        .distinct()
        .limit(FANOUT)
        .mapToObj(candidates::get)
        .toList();
  }

  private static Optional<Delta> deltaSince(DocumentFollower<?> follower, Revision remote) {
    return follower.revision().isAfter(remote)
        ? Optional.of(follower.document().since(remote))
        : Optional.empty();
  }
}
