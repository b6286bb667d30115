import type { DispatchWays } from '../dispatch/DispatchWays';
import type { Door } from '../load/Door';
import type { ConfigurationSource } from './ConfigurationSource';
import type { JobWriting } from './JobWriting';

/** The ways of deciding of one entry process, each chosen from a table. All boxes of a deployment should have the same. */
export interface ServeWays extends DispatchWays {
  /** Who appends the records of jobs that this box takes in. */
  readonly jobWriting: JobWriting;
  /** Whether jobs are refused for load. */
  readonly door: Door;
  /** Where the box hears of new versions of the configuration. */
  readonly configurationSource: ConfigurationSource;
}
