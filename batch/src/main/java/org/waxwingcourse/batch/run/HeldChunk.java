package org.waxwingcourse.batch.run;

import io.vavr.control.Option;

/** A chunk that this host holds. Its items are loaded after the claim. Not thread-safe. */
final class HeldChunk {
  Claim claim;
  Option<ChunkRun> run = Option.none();

  HeldChunk(Claim claim) {
    this.claim = claim;
  }

  boolean matches(org.waxwingcourse.model.id.JobId job, int chunk) {
    return claim.job().job().id().equals(job) && claim.chunk() == chunk;
  }
}
