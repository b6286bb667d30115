import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Chooses the endpoints to request advice on for a step, the most useful first. */
export interface CandidateSelector {
  /** Begins a round of placement. */
  startRound(): void;

  /** Records the next step, in placement order, with the number of its tasks that lack tickets. */
  recordStep(step: WaitingStep, missing: number): void;

  /**
   * Returns the endpoints to request advice on for `missing` tasks that lack tickets valid until `neededUntil`; empty when a request
   * would not be useful. The caller sends the request at once.
   */
  chooseEndpoints(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointState[];

  /** Handles the end of a request for a step (`JOB.TIME.STEP`), with or without a response. */
  recordResponse(step: string, candidates: readonly EndpointIncarnation[]): void;
}
