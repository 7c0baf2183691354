package org.waxwingcourse.fleet.plan;

import io.vavr.control.Either;

/** Parses a configuration document in the format of the operators. */
@FunctionalInterface
public interface PlanReader {
  /** Returns the plan, or a message that says what is wrong with the document. */
  Either<String, Plan> read(byte[] document);
}
