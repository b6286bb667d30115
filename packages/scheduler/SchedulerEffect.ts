import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { WorkerId } from '../common/WorkerId';
import type { RefusalReason } from './RefusalReason';

/** What the decision core wants done. */
export type SchedulerEffect =
  | {
      readonly kind: 'place';
      readonly id: RequestId;
      readonly row: RowName;
      readonly worker: WorkerId;
      readonly waitedMs: number;
      /** What it waited for, for the explanation. */
      readonly waitedFor: 'nothing' | 'room' | 'limit';
    }
  | {
      readonly kind: 'refuse';
      readonly id: RequestId;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'yield';
      readonly id: RequestId;
      readonly worker: WorkerId;
      readonly inFavourOf: RequestId;
    };
