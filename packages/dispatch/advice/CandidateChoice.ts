import type { EndpointLife } from '../../jobs/EndpointLife';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Chooses the endpoints about which the advice service is asked for a step, the most useful first. */
export interface CandidateChoice {
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
    eligible: readonly EndpointBook[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointBook[];

  /** The question about these endpoints for a step (`JOB.TIME.STEP`) has its answer, or will have none. */
  recordAnswer(step: string, named: readonly EndpointLife[]): void;
}
