import type { ProcessId } from '../../packages/common/ProcessId';
import type { Ownership } from '../../packages/ownership/Ownership';

/** One entry process of the explorer's hall. */
export interface ExplorerProcess {
  readonly id: ProcessId;
  readonly box: number;
  readonly ownership: Ownership;
  /** Local time is `offset + rate * world time`. */
  readonly offset: number;
  readonly rate: number;
  state: 'running' | 'paused' | 'dead';
  isStopped: boolean;
  /** The spell of ownership in which the worker has shut earlier owners out. */
  fencedGrant: number | undefined;
}
