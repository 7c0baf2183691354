package org.waxwingcourse.fleet.plan;

import io.vavr.control.Either;

/** Reads a configuration document as the operators write it. */
@FunctionalInterface
public interface PlanReader {
  /** Returns the plan, or what is wrong with the document. */
  Either<String, Plan> read(byte[] document);
}
