import type { EndpointBook } from '../endpoints/EndpointBook';
import type { HallChoice } from './HallChoice';
import { hallChoices } from './hallChoices';
import type { KindSpeeds } from './KindSpeeds';
import type { RoomView } from './RoomView';
import type { SpeedChoice } from './SpeedChoice';
import { speedChoices } from './speedChoices';
import type { WaitingStep } from '../waiting/WaitingStep';

interface EndpointPreferenceOptions {
  readonly kinds: KindSpeeds;
  readonly room: RoomView;
  readonly speedChoice: SpeedChoice;
  readonly hallChoice: HallChoice;
}

/** Says which endpoints a step should rather have, for their speed and their hall. */
export class EndpointPreference {
  constructor(private readonly options: EndpointPreferenceOptions) {}

  /**
   * Gives the cost of an endpoint for a step, lower is better. It is 0 for steps that run on: they have no end that would come
   * sooner, and are spread.
   */
  createCostOf(step: WaitingStep): (book: EndpointBook) => number {
    if (step.shape.isLongRunning || step.shape.isFiller) {
      return () => 0;
    }
    const { kinds, room, speedChoice, hallChoice } = this.options;
    const isMostUrgent = room.isMostUrgent(step.job.definition.queue);
    const homeHall = room.readHomeHall(step);
    return (book) => {
      const { labels, hall } = book.readProfile();
      const speedCost = speedChoices[speedChoice](kinds.readRatio(labels), isMostUrgent);
      return speedCost + hallChoices[hallChoice](hall === homeHall);
    };
  }
}
