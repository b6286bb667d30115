import type { ListenerLimits } from '../gateway/ListenerLimits';
import type { ListenerResources } from '../gateway/ListenerResources';
import type { ServePolicies } from './ServePolicies';

/** Settings of an entry process. */
export interface ServeSettings extends ServePolicies, ListenerResources {
  readonly box: string;
  readonly hall: string;
  /** Processing capacity that the box may use, as a number of cores of reference speed. */
  readonly cores: number;
  /** Bandwidth of the box's network link in Mbit/s. */
  readonly linkMbps: number;
  /** Limits of the listener for callers. */
  readonly callerLimits: ListenerLimits;
  /** Host and port for callers. */
  readonly front: string;
  /** Host and port for the readiness probe of the load balancer. */
  readonly ready: string;
  /** Host and port for other entry boxes and metrics collectors. */
  readonly internal: string;
  /** Host and port of the platform's log. */
  readonly log: string;
  /** Host and port of the advice service; empty without one. */
  readonly advice: string;
  /**
   * Maximum age in milliseconds of the configuration, beyond which callers' keys are rejected; undefined for no limit.
   */
  readonly maxConfigurationAgeMs: number | undefined;
  /** Longest lease that an endpoint grants, in milliseconds. An endpoint shortens longer requested leases to this. */
  readonly longestLeaseMs: number;
  /** Largest append to the log, in bytes. */
  readonly maxAppendBytes: number;
  /** Milliseconds from SIGTERM to SIGKILL. */
  readonly graceMs: number;
}
