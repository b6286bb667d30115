import type { DispatchPolicies } from '../dispatch/DispatchPolicies';
import type { AdmissionMode } from '../load/AdmissionMode';
import type { ConfigurationSource } from './ConfigurationSource';
import type { JobWritePolicyName } from './JobWritePolicyName';

/** Policies of an entry process. All boxes of a deployment should use the same. */
export interface ServePolicies extends DispatchPolicies {
  /** Which box appends the records of the jobs and cancels that this box accepts. */
  readonly jobWriting: JobWritePolicyName;
  /** Admission control by load. */
  readonly door: AdmissionMode;
  /** Where the box gets new versions of the configuration. */
  readonly configurationSource: ConfigurationSource;
}
