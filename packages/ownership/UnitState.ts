import type { ProcessId } from '../common/ProcessId';
import type { ForeignTask } from './ForeignTask';

/** What a process knows of a unit that the view gives it. */
export interface UnitState {
  /** The view since which it has been the owner without a break; -1 when that is not known. */
  readonly ownedSince: number;
  /** Local number of this spell of ownership: what was started in another spell is not ours to renew. */
  readonly grant: number;
  /** Rises with each change of owner over all processes: later views give higher ones, and within a view successors do. */
  readonly token: number;
  /** When the endpoint last listed all that runs there with earlier owners shut out; -Infinity for never. */
  listedAt: number;
  /** True when members ranked before it have ended within the view. */
  readonly isSuccessor: boolean;
  /** The member ranked directly before it, if any. */
  readonly predecessor: ProcessId | undefined;
  /** When every other process was known to place there no more; undefined before. */
  clearAt: number | undefined;
  /** True once all that others may still run there is known. */
  isSettled: boolean;
  /** Tasks of others that may still run there, by task id. */
  foreign: Map<string, ForeignTask>;
}
