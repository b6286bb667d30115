import type { DispatchPolicies } from '../dispatch/DispatchPolicies';
import type { AdmissionMode } from '../load/AdmissionMode';
import type { ConfigurationSource } from './ConfigurationSource';
import type { JobWriting } from './JobWriting';

/** The ways of deciding of one entry process, each chosen from a table. All boxes of a deployment should have the same. */
export interface ServeWays extends DispatchPolicies {
  /** Who appends the records of jobs that this box takes in. */
  readonly jobWriting: JobWriting;
  /** Whether jobs are refused for load. */
  readonly door: AdmissionMode;
  /** Where the box hears of new versions of the configuration. */
  readonly configurationSource: ConfigurationSource;
}
