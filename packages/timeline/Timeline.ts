import type { BoxId } from '../common/BoxId';
import type { HybridClock } from '../common/HybridClock';
import type { RequestId } from '../common/RequestId';
import { compareEvents } from './compareEvents';
import type { TimelineEvent } from './TimelineEvent';

interface TimelineOptions {
  readonly box: BoxId;
  readonly clock: HybridClock;
  /** Maximum number of retained request events, and of other events. */
  readonly capacity: number;
}

/** Event to record, without its time and box. An entry without a request goes to the ring of other events. */
interface TimelineEntry {
  readonly part: string;
  readonly kind: string;
  readonly request?: RequestId;
  readonly detail?: TimelineEvent['detail'];
}

/** Bounded history of the events of one process. Request events have a ring buffer of their own, so that they can't evict rarer events. */
export class Timeline {
  private readonly rings = { request: [] as TimelineEvent[], other: [] as TimelineEvent[] };
  /** Index of the oldest event in each ring; 0 until the ring is full. */
  private readonly oldestIndexes = { request: 0, other: 0 };

  constructor(private readonly options: TimelineOptions) {}

  /** Records an event with a new timestamp, in place of the oldest event when its ring is full. */
  recordEvent(entry: TimelineEntry): void {
    const name = entry.request === undefined ? 'other' : 'request';
    const ring = this.rings[name];
    const event = {
      stamp: this.options.clock.createTimestamp(),
      box: this.options.box,
      detail: {},
      ...entry,
    };
    if (ring.length < this.options.capacity) {
      ring.push(event);
      return;
    }
    ring[this.oldestIndexes[name]] = event;
    this.oldestIndexes[name] = (this.oldestIndexes[name] + 1) % this.options.capacity;
  }

  /** Returns the retained events of a request, or without an argument those that belong to no request, in order of hybrid time. */
  listEvents(request?: RequestId): readonly TimelineEvent[] {
    const events =
      request === undefined
        ? [...this.rings.other]
        : this.rings.request.filter((event) => event.request === request);
    return events.sort(compareEvents);
  }
}
