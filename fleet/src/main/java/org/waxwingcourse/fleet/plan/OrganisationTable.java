package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.OrganisationId;

/** An index of the organisations by key and by id. */
public final class OrganisationTable {
  private final Map<String, OrganisationPlan> byKey = new HashMap<>();
  private final Map<OrganisationId, OrganisationPlan> byId = new HashMap<>();

  private OrganisationTable(List<OrganisationPlan> organisations) {
    for (OrganisationPlan organisation : organisations) {
      byId.put(organisation.id(), organisation);
      organisation.keys().forEach(key -> byKey.put(key, organisation));
    }
  }

  /** Returns a table of the given organisations. */
  public static OrganisationTable of(List<OrganisationPlan> organisations) {
    return new OrganisationTable(organisations);
  }

  /** Returns whether no organisation is declared, in which case no route requires a key. */
  public boolean isEmpty() {
    return byId.isEmpty();
  }

  /** Returns the organisation to which a key belongs. */
  public Option<OrganisationPlan> byKey(String key) {
    return Option.of(byKey.get(key));
  }

  /** Returns the organisation with the given id. */
  public Option<OrganisationPlan> byId(OrganisationId id) {
    return Option.of(byId.get(id));
  }

  /** Returns all organisations. */
  public Collection<OrganisationPlan> all() {
    return byId.values();
  }
}
