import type { EndpointBook } from '../endpoints/EndpointBook';
import type { HallChoice } from './HallChoice';
import { hallChoices } from './hallChoices';
import type { SpeedChoice } from './SpeedChoice';
import { speedChoices } from './speedChoices';
import type { SpeedSources } from './SpeedSources';
import type { WaitingStep } from '../waiting/WaitingStep';

interface EndpointPreferenceOptions extends SpeedSources {
  readonly speedChoice: SpeedChoice;
  readonly hallChoice: HallChoice;
}

/** Says which endpoints a step should rather have, for their speed and their hall. */
export class EndpointPreference {
  private wallMs = 0;

  constructor(private readonly options: EndpointPreferenceOptions) {}

  /** Begins a round of placement: objectives are compared with its time. */
  startRound(wallMs: number): void {
    this.wallMs = wallMs;
  }

  /**
   * Gives the cost for a step of the endpoints that it may have, lower is better. It is 0 for steps that run on: they have no end
   * that would come sooner, and are spread.
   */
  createCostOf(step: WaitingStep, endpoints: readonly EndpointBook[]): (book: EndpointBook) => number {
    if (step.shape.isLongRunning || step.shape.isFiller) {
      return () => 0;
    }
    const { room, speedChoice, hallChoice } = this.options;
    const readSpeedCost = speedChoices[speedChoice](step, this.options, endpoints, this.wallMs);
    const homeHall = room.readHomeHall(step);
    return (book) => readSpeedCost(book) + hallChoices[hallChoice](book.readProfile().hall === homeHall);
  }
}
