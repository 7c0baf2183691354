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
 * Keeps this host's versions and its evidence fresh by anti-entropy (pull gossip: each second a few
 * random hosts are asked; Demers et al., 1987).
 *
 * <p>Evidence is a statement "nothing accepted before this instant is newer than these versions".
 * It comes from a read of the store's heads, sent at that instant; from another host's evidence,
 * counted back from when that host was asked; or, while the store does not answer, from a majority
 * of the roster, each of which was asked after that instant and has nothing newer. A statement
 * about versions that this host lacks counts once it has caught up.
 *
 * <p>Hosts with old evidence read the store themselves, so the number of reads adapts: a fleet that
 * hears each other needs few. Deltas replace whole copies.
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
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Set<HostId> pollVotes = new HashSet<>();
  private final Map<HostId, Seen> seen = new HashMap<>();
  private Optional<Claim> unmet = Optional.empty();
  private Optional<Poll> poll = Optional.empty();
  private Instant nextGossip = Instant.MIN;
  private Instant nextRead = Instant.MIN;
  private Instant nextPoll = Instant.MIN;
  private Instant fetchAt = Instant.MAX;
  private Optional<Instant> readSince = Optional.empty();
  private boolean storeFailed = true;
  private Duration spread = Duration.ZERO;
  private Revision closed = Revision.NONE;
  private Instant closedUntil = Instant.MIN;

  /**
   * Creates the agreement of one host.
   *
   * @param self this process
   * @param clock monotonic time of this host
   * @param random spreads attempts and picks hosts
   * @param peers hosts to gossip with, itself excluded
   * @param port sends messages and reads the store
   * @param configuration follower of the operators' configuration
   * @param roster follower of the roster
   * @param evidence renewed here, read by those that act on it
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

  /** A statement that nothing accepted before an instant is newer than these versions. */
  private record Claim(Versions versions, Instant heardAt) {}

  /** An ask that has not been answered. */
  private record Pending(HostId to, Instant sentAt, boolean vote) {}

  /** What another host had when it was last heard. */
  private record Seen(Versions versions, Instant at) {}

  /** A vote of the roster in progress. */
  private record Poll(Roster roster, Instant startedAt, Revision newest) {}

  /** Does what is due; called a few times a second. */
  public synchronized void tick() {
    Instant now = clock.instant();
    Instant oldest = now.minus(Evidence.VALIDITY);
    pending.values().removeIf(p -> p.sentAt().isBefore(oldest));
    settleUnmet();
    if (!now.isBefore(nextGossip)) {
      nextGossip = now.plus(AgreementTiming.jittered(AgreementTiming.GOSSIP, random));
      randomPeers().forEach(p -> ask(p, now, false));
    }
    readWhenOld(now);
    pollWhenOld(now);
    if (!now.isBefore(fetchAt)) {
      fetchAt = now.plus(AgreementTiming.jittered(Evidence.VALIDITY, random));
      port.readDocuments();
    }
  }

  /**
   * The store has answered a read of the heads.
   *
   * @param sentAt this host's clock before the read was sent
   * @param heads the newest revisions, {@link Revision#NONE} for what is not stored
   */
  public synchronized void onHeads(Instant sentAt, Versions heads) {
    readSince = Optional.empty();
    storeFailed = false;
    claim(new Claim(heads, sentAt));
    if (!versions().covers(heads) && fetchAt.equals(Instant.MAX)) {
      fetchAt = clock.instant().plus(AgreementTiming.jittered(fetchDelay(), random));
      randomPeers().forEach(p -> ask(p, clock.instant(), false));
    }
  }

  /** A read of the heads has failed. */
  public synchronized void onHeadsFailed() {
    readSince = Optional.empty();
    storeFailed = true;
  }

  /** Offers a change that the store's watch has brought. */
  public synchronized OfferResult onWatchedConfiguration(Delta change) {
    OfferResult offer = configuration.offer(change);
    settleUnmet();
    return offer;
  }

  /** Offers a roster that the store has brought. */
  public synchronized OfferResult onWatchedRoster(Delta change) {
    OfferResult offer = roster.offer(change);
    settleUnmet();
    return offer;
  }

  /** A host asks. */
  public synchronized void onAsk(HostId from, TrustMessage.Ask ask) {
    Versions own = versions();
    Versions theirs = ask.versions();
    seen.put(from, new Seen(theirs, clock.instant()));
    Optional<Delta> newer = delta(configuration, theirs.configuration());
    Optional<Delta> newerRoster = delta(roster, theirs.roster());
    boolean stands = theirs.roster().equals(own.roster()) && standsByRoster();
    port.send(
        from,
        new TrustMessage.Answer(
            ask.id(), incarnation, own, evidence.age(), stands, newer, newerRoster));
    if (!own.covers(theirs)) {
      ask(from, clock.instant(), false);
    }
  }

  /** A host answers. */
  public synchronized void onAnswer(HostId from, TrustMessage.Answer answer) {
    seen.put(from, new Seen(answer.versions(), clock.instant()));
    answer.configuration().ifPresent(configuration::offer);
    answer.roster().ifPresent(roster::offer);
    settleUnmet();
    Pending asked = pending.remove(answer.id());
    if (asked == null || !asked.to().equals(from)) {
      return;
    }
    answer
        .evidenceAge()
        .ifPresent(age -> claim(new Claim(answer.versions(), asked.sentAt().minus(age))));
    if (asked.vote() && answer.extendsRoster()) {
      poll.ifPresent(p -> countVote(p, from, asked, answer));
    }
  }

  /** Promises to extend a roster no longer, unless it has been replaced already. */
  public synchronized void onClose(HostId from, TrustMessage.CloseRoster close) {
    if (closeRoster(close.roster())) {
      port.send(from, new TrustMessage.RosterClosed(close.id(), close.roster()));
    }
  }

  /** Stops extending a roster; false if this host knows a newer one. */
  synchronized boolean closeRoster(Revision revision) {
    if (roster.revision().isAfter(revision)) {
      return false;
    }
    closed = closed.isAfter(revision) ? closed : revision;
    closedUntil = clock.instant().plus(RosterChanger.CLOSED_FOR);
    return true;
  }

  /** Returns what this host has. */
  public Versions versions() {
    return Versions.of(configuration.revision(), roster.revision());
  }

  /** Tells whether the store answered the last read of its heads. */
  public synchronized boolean storeAnswers() {
    return !storeFailed && readSince.isEmpty();
  }

  /** Returns what this host knows about its own lag. */
  public synchronized AgreementStatus status() {
    return new AgreementStatus(
        versions(),
        unmet.map(Claim::versions),
        evidence.age(),
        evidence.isCurrent(),
        storeAnswers());
  }

  /** Returns what each host that is alive had when it was last heard. */
  public synchronized List<HostVersions> others() {
    Instant now = clock.instant();
    seen.keySet().retainAll(peers.get());
    return seen.entrySet().stream()
        .map(
            e ->
                new HostVersions(
                    e.getKey(), e.getValue().versions(), Duration.between(e.getValue().at(), now)))
        .sorted(Comparator.comparing(HostVersions::host))
        .toList();
  }

  private void readWhenOld(Instant now) {
    if (readSince.filter(s -> now.isAfter(s.plus(AgreementTiming.READ_TIMEOUT))).isPresent()) {
      storeFailed = true;
    }
    if (now.isBefore(nextRead) || !isOlderThan(AgreementTiming.READ_AFTER.plus(spread))) {
      return;
    }
    spread = AgreementTiming.jittered(Duration.ZERO, random);
    nextRead = now.plus(AgreementTiming.jittered(AgreementTiming.RETRY, random));
    readSince = Optional.of(readSince.orElse(now));
    port.readHeads();
  }

  private void pollWhenOld(Instant now) {
    Duration after = AgreementTiming.POLL_AFTER.plus(spread);
    if (!storeFailed || now.isBefore(nextPoll) || !isOlderThan(after)) {
      return;
    }
    nextPoll = now.plus(AgreementTiming.jittered(AgreementTiming.RETRY, random));
    Roster voters = roster.value().orElse(Roster.EMPTY);
    if (voters.holders().isEmpty()) {
      return;
    }
    poll = Optional.of(new Poll(voters, now, configuration.revision()));
    pollVotes.clear();
    if (standsByRoster()) {
      pollVotes.add(self);
    }
    concludePoll();
    for (Holder h : voters.holders()) {
      if (!h.host().equals(self)) {
        ask(h.host(), now, true);
      }
    }
  }

  private void countVote(Poll p, HostId from, Pending asked, TrustMessage.Answer answer) {
    boolean inTime = !asked.sentAt().isBefore(p.startedAt());
    boolean sameRoster = answer.versions().roster().equals(p.roster().revision());
    if (!inTime || !sameRoster || !p.roster().lists(from, answer.incarnation())) {
      return;
    }
    Revision theirs = answer.versions().configuration();
    Revision newest = theirs.isAfter(p.newest()) ? theirs : p.newest();
    poll = Optional.of(new Poll(p.roster(), p.startedAt(), newest));
    pollVotes.add(from);
    concludePoll();
  }

  private void concludePoll() {
    Poll p = poll.orElseThrow();
    if (p.roster().isMajority(pollVotes.size())) {
      poll = Optional.empty();
      claim(new Claim(Versions.of(p.newest(), p.roster().revision()), p.startedAt()));
    }
  }

  private boolean standsByRoster() {
    Roster current = roster.value().orElse(Roster.EMPTY);
    boolean open = current.revision().isAfter(closed) || clock.instant().isAfter(closedUntil);
    return open && current.lists(self, incarnation);
  }

  private void claim(Claim claim) {
    if (versions().covers(claim.versions())) {
      evidence.confirm(claim.heardAt());
      return;
    }
    boolean newer = unmet.map(u -> claim.heardAt().isAfter(u.heardAt())).orElse(true);
    if (newer) {
      unmet = Optional.of(claim);
    }
  }

  private void settleUnmet() {
    if (unmet.isPresent() && versions().covers(unmet.get().versions())) {
      evidence.confirm(unmet.get().heardAt());
      unmet = Optional.empty();
      fetchAt = Instant.MAX;
    }
  }

  private Duration fetchDelay() {
    return randomPeers().isEmpty() ? Duration.ZERO : AgreementTiming.FETCH_AFTER;
  }

  private boolean isOlderThan(Duration limit) {
    return evidence.age().map(a -> a.compareTo(limit) > 0).orElse(true);
  }

  private void ask(HostId to, Instant now, boolean vote) {
    long id = random.nextLong();
    pending.put(id, new Pending(to, now, vote));
    port.send(to, new TrustMessage.Ask(id, incarnation, versions()));
  }

  private List<HostId> randomPeers() {
    List<HostId> all = peers.get();
    if (all.size() <= FANOUT) {
      return all;
    }
    return random.ints(0, all.size()).distinct().limit(FANOUT).mapToObj(all::get).toList();
  }

  private static Optional<Delta> delta(DocumentFollower<?> follower, Revision theirs) {
    return follower.revision().isAfter(theirs)
        ? Optional.of(follower.document().since(theirs))
        : Optional.empty();
  }
}
