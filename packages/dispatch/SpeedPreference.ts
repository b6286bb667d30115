import type { EndpointBook } from './EndpointBook';
import type { KindSpeeds } from './KindSpeeds';
import type { RoomView } from './RoomView';
import type { SpeedChoice } from './SpeedChoice';
import { speedChoices } from './speedChoices';
import type { WaitingStep } from './WaitingStep';

/** Says which endpoints a step should rather have for their speed. */
export class SpeedPreference {
  constructor(
    private readonly kinds: KindSpeeds,
    private readonly room: RoomView,
    private readonly choice: SpeedChoice,
  ) {}

  /** Lower is better; 0 for steps that run on: they have no end that would come sooner. */
  measureCost(step: WaitingStep, book: EndpointBook): number {
    if (step.shape.isLongRunning || step.shape.isFiller) {
      return 0;
    }
    const ratio = this.kinds.readRatio(book.readProfile().labels);
    return speedChoices[this.choice](ratio, this.room.isMostUrgent(step.job.definition.queue));
  }
}
