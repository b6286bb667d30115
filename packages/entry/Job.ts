import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';
import type { JobEnd } from './JobEnd';

/** One task that this process is to place and run: an attempt of a call, or a standing replica. */
export interface Job {
  /** Unique within the process; a retry is a new job. */
  readonly id: RequestId;
  readonly row: RowName;
  readonly team: TeamName;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** The caller's request, or the replica's name; what the endpoint is told for its records. */
  readonly callerRequest: string;
  readonly body: Buffer;
  readonly headers: Readonly<Record<string, string>>;
  /** Set for a standing replica: the lease that its holder renews, in milliseconds. */
  readonly leaseMs?: number;
  /** Set for a standing replica: asked once more before its order leaves. */
  readonly hasRight?: () => boolean;
  /** Called once, when it is known how the job ended; for `unknown` again with `drained`. */
  readonly handleEnd: (end: JobEnd) => void;
}
