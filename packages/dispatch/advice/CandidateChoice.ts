import type { EndpointBook } from '../endpoints/EndpointBook';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Chooses the endpoints about which the advice service is asked for a step, the most useful first. */
export interface CandidateChoice {
  /** Forgets what was worked out in the round before. */
  startRound(): void;

  /**
   * The endpoints to name for `missing` tasks that lack tickets which hold until `neededUntil`; none when a question is not worth
   * its turn.
   */
  chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointBook[];
}
