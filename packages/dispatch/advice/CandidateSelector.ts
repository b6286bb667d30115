import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Chooses the endpoints that the advice request of a step asks about. */
export interface CandidateSelector {
  /** Begins a round of placement: forgets the steps recorded in the one before. */
  startRound(): void;

  /** Records the next step, in placement order, with the number of its tasks that lack tickets. */
  recordStep(step: WaitingStep, missing: number): void;

  /**
   * Returns the endpoints to request advice on for `missing` tasks that lack tickets valid until `neededUntil`, the most useful first;
   * empty when a request would not be useful. The caller sends the request at once, so the selector may count it as pending.
   */
  chooseEndpoints(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointState[];

  /** Handles the end of a request, with or without a response. `step` is the name of its step (see `toStepName`). */
  recordResponse(step: string, candidates: readonly EndpointIncarnation[]): void;
}
