import type { BoxId } from '../common/BoxId';
import type { HybridTime } from '../common/HybridTime';
import type { RequestId } from '../common/RequestId';

/** One event of the time line. */
export interface TimelineEvent {
  readonly stamp: HybridTime;
  readonly box: BoxId;
  /** The part that recorded it, for example `scheduler`. */
  readonly part: string;
  /** What happened, in one or two words. */
  readonly kind: string;
  readonly request?: RequestId;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}
