import type { BoxId } from '../common/BoxId';
import type { HybridClock } from '../common/HybridClock';
import type { RequestId } from '../common/RequestId';
import { checkStampOrder } from './checkStampOrder';
import type { TimelineEvent } from './TimelineEvent';

interface TimelineOptions {
  readonly box: BoxId;
  readonly clock: HybridClock;
  /** Most events of requests kept, and apart from them most of all others. */
  readonly capacity: number;
}

interface TimelineEntry {
  readonly part: string;
  readonly kind: string;
  readonly request?: RequestId;
  readonly detail?: TimelineEvent['detail'];
}

/** A bounded ring of events of one process. Request events have a ring of their own, so that they cannot push out rarer ones. */
export class Timeline {
  private readonly rings = { request: [] as TimelineEvent[], other: [] as TimelineEvent[] };
  private readonly starts = { request: 0, other: 0 };

  constructor(private readonly options: TimelineOptions) {}

  /** Records an event with the next stamp. */
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
    ring[this.starts[name]] = event;
    this.starts[name] = (this.starts[name] + 1) % this.options.capacity;
  }

  /** Reads the kept events in order: all but request events, or those of one request. */
  readEvents(request?: RequestId): readonly TimelineEvent[] {
    const events =
      request === undefined
        ? [...this.rings.other]
        : this.rings.request.filter((event) => event.request === request);
    return events.sort(checkStampOrder);
  }
}
