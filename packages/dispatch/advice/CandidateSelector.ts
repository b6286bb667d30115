import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Chooses the endpoints about which the advice service is asked for a step, the most useful first. */
export interface CandidateSelector {
  /** A round of placement begins. */
  startRound(): void;

  /** Notes the next step, in the order of placement, that has not found all it needs. */
  recordStep(step: WaitingStep, missing: number): void;

  /**
   * The endpoints to name for `missing` tasks that lack tickets which hold until `neededUntil`; none when a question is not worth
   * its turn. They are asked about at once.
   */
  chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointState[];

  /** The question about these endpoints for a step (`JOB.TIME.STEP`) has its answer, or will have none. */
  recordResponse(step: string, named: readonly EndpointIncarnation[]): void;
}
