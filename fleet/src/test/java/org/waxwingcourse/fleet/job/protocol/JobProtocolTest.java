package org.waxwingcourse.fleet.job.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The protocol of jobs at small size, in every order of its steps, and the bugs it is to catch. */
class JobProtocolTest {
  @Test
  void resultsKeepTheirPlaceInEveryOrderOfSteps() {
    StateSpace<RunnerModel.State> space = search(new RunnerModel(true, true));
    System.out.printf("%d states of claim and commit%n", space.size());
    assertThat(space.violation()).isEmpty();
  }

  @Test
  void aCommitThatIsNotFencedListsAnItemTwiceOrMovesAResult() {
    StateSpace<RunnerModel.State> space = search(new RunnerModel(false, true));
    System.out.println("without fencing: " + space.violation());
    assertThat(space.violation()).isNotEmpty();
  }

  @Test
  void aClaimBesideALivingRunnerLosesNothingAsLongAsCommitsAreFenced() {
    assertThat(search(new RunnerModel(true, false)).violation()).isEmpty();
  }

  @Test
  void acceptedJobsNeverExceedTheCap() {
    StateSpace<AcceptanceModel.State> space = search(new AcceptanceModel(true));
    System.out.printf("%d states of acceptance%n", space.size());
    assertThat(space.violation()).isEmpty();
  }

  @Test
  void aSumReadOutsideTheTransactionExceedsTheCap() {
    StateSpace<AcceptanceModel.State> space = search(new AcceptanceModel(false));
    System.out.println("sum outside the transaction: " + space.violation());
    assertThat(space.violation()).isNotEmpty();
  }

  private static StateSpace<RunnerModel.State> search(RunnerModel model) {
    return StateSpace.search(model.first(), model::steps, RunnerModel::keepsResults);
  }

  private static StateSpace<AcceptanceModel.State> search(AcceptanceModel model) {
    return StateSpace.search(model.first(), model::steps, AcceptanceModel::keepsCap);
  }
}
