import type { HallChoice } from '../dispatch/placing/HallChoice';
import type { PlacementOrder } from '../dispatch/waiting/PlacementOrder';
import type { SpeedChoice } from '../dispatch/placing/SpeedChoice';
import type { Door } from '../load/Door';
import type { ConfigurationSource } from './ConfigurationSource';
import type { JobWriting } from './JobWriting';

/** What one entry process needs to know at its start. */
export interface ServeSettings {
  readonly box: string;
  readonly hall: string;
  /** Processor cores that the box may use; the box with most should lead. */
  readonly cores: number;
  /** Host and port for callers. */
  readonly front: string;
  /** Host and port for the balancer's question. */
  readonly ready: string;
  /** Host and port for other entry boxes and collectors of metrics. */
  readonly internal: string;
  /** Host and port of the platform's log. */
  readonly log: string;
  /** Host and port of the advice service; empty where there is none. */
  readonly advice: string;
  /** Who appends the records of jobs that this box takes in. */
  readonly jobWriting: JobWriting;
  /** In which order the leader places what waits. */
  readonly placementOrder: PlacementOrder;
  /** How the speed of endpoints' kinds counts when they are chosen. */
  readonly speedChoice: SpeedChoice;
  /** Over which halls the tasks of a job go. */
  readonly hallChoice: HallChoice;
  /** What the load has to do with taking jobs in. */
  readonly door: Door;
  /** Where the box hears of new versions of the configuration. */
  readonly configurationSource: ConfigurationSource;
  /**
   * Milliseconds for which a key still works after this box last knew the newest configuration; undefined when keys go on working
   * however old it is.
   */
  readonly maxConfigurationAgeMs: number | undefined;
  /** Longest lease that an endpoint grants, in milliseconds: a longer one is cut down to it. */
  readonly longestLeaseMs: number;
  /** Largest append in bytes. */
  readonly maxAppendBytes: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
}
