import type { ForeignTask } from './ForeignTask';

/** What a process remembers of a unit that it owned and lost. */
export interface ReleasedUnit {
  /** The last view under which it was the owner. */
  readonly lastOwnedView: number;
  /** True when a planned stop ended the ownership within that view. */
  readonly isByStop: boolean;
  /** True when it knew of everything that could be running there. */
  readonly isComplete: boolean;
  /** Tasks of others that it had counted there. */
  readonly inherited: ReadonlyMap<string, ForeignTask>;
}
