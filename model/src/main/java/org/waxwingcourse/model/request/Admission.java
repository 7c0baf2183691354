package org.waxwingcourse.model.request;

import io.vavr.control.Option;
import org.waxwingcourse.model.id.OrganisationId;

/** Holds organisations to their rates. Never blocks. */
@FunctionalInterface
public interface Admission {
  /** Takes one request out of the organisation's rate, or says why not and when to come back. */
  Option<Refusal> admit(OrganisationId organisation);
}
