package org.waxwingcourse.policy.queue;

import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.WorkClass;

/** A simulated request and its progress. */
final class SimRequest {
  final String id;
  final OrganisationId organisation;
  final WorkClass workClass;
  final int promptTokens;
  final int completionTokens;
  final double arrivalMillis;
  int promptTokensLeft;
  int generatedTokens;
  double lastTokenMillis;
  boolean missedObjective;

  SimRequest(
      String id,
      String organisation,
      WorkClass workClass,
      int promptTokens,
      int completionTokens,
      double arrivalMillis) {
    this.id = id;
    this.organisation = OrganisationId.of(organisation);
    this.workClass = workClass;
    this.promptTokens = promptTokens;
    this.completionTokens = completionTokens;
    this.arrivalMillis = arrivalMillis;
    this.promptTokensLeft = promptTokens;
  }
}
