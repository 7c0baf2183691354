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
 * Selects the hosts that hold an organisation's shares by rendezvous hashing over the roster. The
 * highest-ranked host of each data centre precedes the second of any data centre.
 */
public final class HolderPlacement {
  /** Number of hosts that share an organisation's rate. */
  public static final int DEFAULT_HOLDER_COUNT = 3;

  private HolderPlacement() {}

  /** Returns the holders of an organisation in order of preference. */
  public static List<HostId> holders(Roster roster, OrganisationId organisation, int count) {
    List<Holder> ranked =
        RendezvousHash.rank(roster.holders(), h -> h.host().value(), organisation.value());
    Map<DataCentreId, Integer> countByDataCentre = new HashMap<>();
    List<List<HostId>> rounds = new ArrayList<>();
    for (Holder h : ranked) {
      int round = countByDataCentre.merge(h.dataCentre(), 1, Integer::sum) - 1;
      if (rounds.size() <= round) {
        rounds.add(new ArrayList<>());
      }
      rounds.get(round).add(h.host());
    }
    return rounds.stream().flatMap(List::stream).limit(count).toList();
  }
}
