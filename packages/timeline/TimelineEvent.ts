import type { BoxId } from '../common/BoxId';
import type { HybridTime } from '../common/HybridTime';
import type { RequestId } from '../common/RequestId';

/** Event of a process's timeline. */
export interface TimelineEvent {
  /** Hybrid logical time of the event. */
  readonly stamp: HybridTime;
  readonly box: BoxId;
  /** Component that recorded it, for example `scheduler`. */
  readonly part: string;
  /** What happened, in one or two words. */
  readonly kind: string;
  readonly request?: RequestId;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}
