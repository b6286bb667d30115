import type { EndpointId } from '../jobs/EndpointId';
import type { EndpointBook } from './EndpointBook';
import type { WaitingStep } from './WaitingStep';

/** Share of a service's processors that only the most urgent queues may take. */
const RESERVED_SHARE = 0.08;
const MOST_URGENT = 0;

/** What the books say of room for a step. Changes nothing. */
export class RoomView {
  constructor(private readonly books: ReadonlyMap<EndpointId, EndpointBook>) {}

  /** Usable endpoints of the step's service with the label that it needs. */
  readEligible({ job, shape }: WaitingStep): readonly EndpointBook[] {
    const { service } = job.definition.queue;
    return [...this.books.values()].filter((book) => {
      const profile = book.readProfile();
      const hasLabel = shape.requiredLabel === '' || profile.labels.includes(shape.requiredLabel);
      return profile.service === service && hasLabel && book.isUsable();
    });
  }

  /** True when the endpoint holds as many tasks of the step as it may. */
  isCrowded({ job, time, step, shape }: WaitingStep, book: EndpointBook): boolean {
    if (shape.maxPerEndpoint === 0) {
      return false;
    }
    let count = 0;
    for (const run of book.readRuns()) {
      const { address } = run;
      if (run.job === job.definition.id && address.time === time && address.step === step) {
        count += 1;
      }
    }
    return count >= shape.maxPerEndpoint;
  }

  /** Processor time that this step may take before it touches what is kept for the most urgent. */
  readReserveLeft(step: WaitingStep): number {
    if (step.job.definition.queue.priority === MOST_URGENT) {
      return Infinity;
    }
    const { service } = step.job.definition.queue;
    let free = 0;
    let capacity = 0;
    for (const book of this.books.values()) {
      if (book.readProfile().service === service && book.isUsable()) {
        free += book.readFree().cpuMillis;
        capacity += book.readProfile().capacity.cpuMillis;
      }
    }
    return free - capacity * RESERVED_SHARE;
  }
}
