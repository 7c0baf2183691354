package org.waxwingcourse.policy.queue;

import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.WorkClass;

/** A request and how far it has come. */
final class SimRequest {
  final String id;
  final OrganisationId organisation;
  final WorkClass workClass;
  final int prompt;
  final int wanted;
  final double arrived;
  int promptLeft;
  int tokens;
  double lastToken;
  boolean late;

  SimRequest(
      String id, String organisation, WorkClass workClass, int prompt, int wanted, double arrived) {
    this.id = id;
    this.organisation = OrganisationId.of(organisation);
    this.workClass = workClass;
    this.prompt = prompt;
    this.wanted = wanted;
    this.arrived = arrived;
    this.promptLeft = prompt;
  }
}
