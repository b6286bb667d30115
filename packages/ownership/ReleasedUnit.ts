import type { ForeignTask } from './ForeignTask';

/** What a process remembers of a unit that it owned and lost. */
export interface ReleasedUnit {
  /** The first view under which it was not the owner. */
  readonly sinceView: number;
  /** True when it knew of everything that could be running there. */
  readonly isComplete: boolean;
  /** Tasks of others that it had counted there. */
  readonly inherited: ReadonlyMap<string, ForeignTask>;
}
