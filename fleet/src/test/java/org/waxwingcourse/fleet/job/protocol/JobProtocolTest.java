package org.waxwingcourse.fleet.job.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Checks small models of the job protocol in every order of their steps, and that the models find
 * known protocol errors.
 */
class JobProtocolTest {
  @Test
  void resultsKeepTheirPositionsInEveryOrderOfSteps() {
    StateSpace<RunnerModel.State> space = search(new RunnerModel(true, true));
    System.out.printf("%d states of claim and commit%n", space.size());
    assertThat(space.violation()).isEmpty();
  }

  @Test
  void commitWithoutFencingListsAnItemTwiceOrMovesAResult() {
    StateSpace<RunnerModel.State> space = search(new RunnerModel(false, true));
    System.out.println("without fencing: " + space.violation());
    assertThat(space.violation()).isNotEmpty();
  }

  @Test
  void claimBesideALiveRunnerLosesNoResultIfCommitsAreFenced() {
    assertThat(search(new RunnerModel(true, false)).violation()).isEmpty();
  }

  @Test
  void acceptedJobsNeverExceedTheLimit() {
    StateSpace<AcceptanceModel.State> space = search(new AcceptanceModel(true));
    System.out.printf("%d states of acceptance%n", space.size());
    assertThat(space.violation()).isEmpty();
  }

  @Test
  void sumReadOutsideTheTransactionExceedsTheLimit() {
    StateSpace<AcceptanceModel.State> space = search(new AcceptanceModel(false));
    System.out.println("sum outside the transaction: " + space.violation());
    assertThat(space.violation()).isNotEmpty();
  }

  private static StateSpace<RunnerModel.State> search(RunnerModel model) {
    return StateSpace.search(model.initialState(), model::steps, RunnerModel::keepsResultPositions);
  }

  private static StateSpace<AcceptanceModel.State> search(AcceptanceModel model) {
    return StateSpace.search(model.initialState(), model::steps, AcceptanceModel::keepsLimit);
  }
}
