import type { DispatchPolicies } from '../dispatch/DispatchPolicies';
import type { AdmissionMode } from '../load/AdmissionMode';
import type { ConfigurationSource } from './ConfigurationSource';
import type { JobWriting } from './JobWriting';

/** Policies of an entry process. All boxes of a deployment should use the same. */
export interface ServeWays extends DispatchPolicies {
  /** Which box appends the records of jobs that this box accepts. */
  readonly jobWriting: JobWriting;
  /** Admission control by load. */
  readonly door: AdmissionMode;
  /** Where the box gets new versions of the configuration. */
  readonly configurationSource: ConfigurationSource;
}
