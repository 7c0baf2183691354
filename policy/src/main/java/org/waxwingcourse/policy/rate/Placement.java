package org.waxwingcourse.policy.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.policy.place.RendezvousHash;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.Roster;

/**
 * Chooses the few hosts that hold an organisation's shares: rendezvous hashing over the roster,
 * taking the best of each data centre before the second of any.
 */
public final class Placement {
  /** Hosts that share an organisation's rate. */
  public static final int HOLDERS = 3;

  private Placement() {}

  /** Returns the holders of an organisation in their order of preference. */
  public static List<HostId> holders(Roster roster, OrganisationId organisation, int count) {
    List<Holder> ranked =
        RendezvousHash.rank(roster.holders(), h -> h.host().value(), organisation.value());
    Map<DataCentreId, Integer> taken = new HashMap<>();
    List<List<HostId>> rounds = new ArrayList<>();
    for (Holder h : ranked) {
      int round = taken.merge(h.dataCentre(), 1, Integer::sum) - 1;
      if (rounds.size() <= round) {
        rounds.add(new ArrayList<>());
      }
      rounds.get(round).add(h.host());
    }
    return rounds.stream().flatMap(List::stream).limit(count).toList();
  }
}
